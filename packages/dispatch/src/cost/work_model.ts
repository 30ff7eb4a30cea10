/**
 * Learns what requests to the engines of a service cost. Load pattern: requests
 * of one route differ by a factor of ten in the prompt that is not cached and in
 * the tokens that they generate, and services differ in the speed of both.
 */

/** Prompt tokens per millisecond until enough runs have been seen. */
const defaultPrefillTokensPerMs = 160;
/** Time per generated token until enough runs have been seen. */
const defaultTokenMs = 1.3;
/** Generated tokens of a request of which nothing is known. */
const defaultOutputTokens = 250;
/** Time of a request to a plain service of which nothing is known. */
const defaultCallMs = 20;
/** Factor by which learned figures may differ from the defaults. */
const maxFactor = 5;
/** Weight of a new run; about the last 30 runs count. */
const sampleWeight = 1 / 30;
/** Runs before the learned figures are used. */
const minRuns = 20;
/** Kinds of requests that are told apart; more share the default. */
const maxKinds = 200;

/**
 * Most tokens of a prompt or an answer, above what the memory of an engine holds.
 * Clients may state any number, and a single large one would outweigh thousands of
 * runs in the means and variances.
 */
const maxTokens = 1_000_000;

/** What is known of a request before it runs. */
export interface RequestSize {
  /** Route or other class of requests with similar answers. */
  readonly kind: string;
  /** Client's estimate of the tokens that are generated. */
  readonly outputHintTokens?: number | undefined;
  /** Most tokens that may be generated. */
  readonly maxOutputTokens?: number | undefined;
}

/** A request that has run. */
export interface CompletedRun extends RequestSize {
  /** Prompt tokens that the target probably had to read. */
  readonly uncachedTokens: number;
  readonly outputTokens: number;
  /** Time from sending to the first event. */
  readonly firstEventMs: number;
  /** Mean time of a generated token; `undefined` for short answers. */
  readonly tokenMs: number | undefined;
}

/** Output of the requests of one kind. */
interface KindOutput {
  runs: number;
  meanTokens: number;
  /** Runs whose clients gave an estimate, and the mean of these estimates. */
  hintedRuns: number;
  meanHint: number;
}

/** Linear least squares of the time to the first event, with forgetting. */
class PrefillFit {
  private runs = 0;
  private meanTokens = 0;
  private meanMs = 0;
  private tokenVariance = 0;
  private covariance = 0;

  add(tokens: number, timeMs: number): void {
    this.runs += 1;
    const weight = Math.max(sampleWeight, 1 / this.runs);
    const tokensOff = tokens - this.meanTokens;
    const timeOff = timeMs - this.meanMs;
    this.meanTokens += weight * tokensOff;
    this.meanMs += weight * timeOff;
    const rest = 1 - weight;
    this.tokenVariance = rest * (this.tokenVariance + weight * tokensOff ** 2);
    this.covariance = rest * (this.covariance + weight * tokensOff * timeOff);
  }

  /** Time per token; `undefined` while the runs do not tell. */
  get msPerToken(): number | undefined {
    if (this.runs < minRuns || this.tokenVariance <= 0) return undefined;
    return this.covariance / this.tokenVariance;
  }
}

interface KindDuration {
  runs: number;
  meanMs: number;
}

/** Expected work of requests, learned from the runs of one service. */
export class WorkModel {
  private readonly prefill = new PrefillFit();
  private readonly outputs = new Map<string, KindOutput>();
  private readonly durations = new Map<string, KindDuration>();
  private tokenRuns = 0;
  private meanTokenMs = defaultTokenMs;

  private constructor() {}

  /** Creates a model that has seen no run. */
  static create(): WorkModel {
    return new WorkModel();
  }

  /** Time to read one prompt token that is not cached. */
  get prefillMsPerToken(): number {
    const learned = this.prefill.msPerToken;
    const fallback = 1 / defaultPrefillTokensPerMs;
    return learned === undefined ? fallback : bound(learned, fallback);
  }

  /** Mean time to generate one token. */
  get tokenMs(): number {
    if (this.tokenRuns < minRuns) return defaultTokenMs;
    return bound(this.meanTokenMs, defaultTokenMs);
  }

  /**
   * Estimates the tokens that a request generates. The client's estimate is right
   * at the median and often far off, so it counts by its square root.
   * @param size - Kind of the request and the client's estimates.
   */
  estimateOutputTokens({
    kind,
    outputHintTokens,
    maxOutputTokens = Number.POSITIVE_INFINITY,
  }: RequestSize): number {
    const known = this.outputs.get(kind);
    const fallback = outputHintTokens ?? defaultOutputTokens;
    const limit = Math.min(maxOutputTokens, maxTokens);
    if (known === undefined || known.runs < minRuns) {
      return Math.min(limit, fallback);
    }
    const hasHints = outputHintTokens !== undefined && known.meanHint > 0;
    const relative = hasHints ? outputHintTokens / known.meanHint : 1;
    const expected = known.meanTokens * Math.sqrt(Math.max(0, relative));
    return Math.min(limit, expected);
  }

  /**
   * Estimates the time that a request takes on a target of average speed that
   * runs nothing else, in milliseconds.
   * @param size - Kind of the request and the client's estimates.
   * @param uncachedTokens - Prompt tokens that the target has to read.
   */
  estimateWorkMs(size: RequestSize, uncachedTokens: number): number {
    return (
      Math.min(maxTokens, uncachedTokens) * this.prefillMsPerToken +
      this.estimateOutputTokens(size) * this.tokenMs
    );
  }

  /**
   * Learns from a request that has run to its end.
   * @param run - What it cost.
   */
  recordRun(run: CompletedRun): void {
    if (run.uncachedTokens <= maxTokens) {
      this.prefill.add(run.uncachedTokens, run.firstEventMs);
    }
    if (run.tokenMs !== undefined && Number.isFinite(run.tokenMs)) {
      this.tokenRuns += 1;
      const weight = Math.max(sampleWeight, 1 / this.tokenRuns);
      this.meanTokenMs += weight * (run.tokenMs - this.meanTokenMs);
    }
    this.recordOutput(run);
  }

  /**
   * Learns from a request to a plain service.
   * @param kind - Route of the request.
   * @param durationMs - Time until its response was complete.
   */
  recordCall(kind: string, durationMs: number): void {
    let known = this.durations.get(kind);
    if (known === undefined) {
      if (this.durations.size >= maxKinds) return;
      known = {runs: 0, meanMs: 0};
      this.durations.set(kind, known);
    }
    known.runs += 1;
    const weight = Math.max(sampleWeight, 1 / known.runs);
    known.meanMs += weight * (durationMs - known.meanMs);
  }

  /**
   * Gets the mean time of a request to a plain service, in milliseconds.
   * @param kind - Route of the request.
   */
  getCallMs(kind: string): number {
    const known = this.durations.get(kind);
    if (known === undefined || known.runs < minRuns) return defaultCallMs;
    return Math.max(1, known.meanMs);
  }

  private recordOutput({
    kind,
    outputTokens,
    outputHintTokens,
  }: CompletedRun): void {
    let known = this.outputs.get(kind);
    if (known === undefined) {
      if (this.outputs.size >= maxKinds) return;
      known = {runs: 0, meanTokens: 0, hintedRuns: 0, meanHint: 0};
      this.outputs.set(kind, known);
    }
    known.runs += 1;
    const weight = Math.max(sampleWeight, 1 / known.runs);
    known.meanTokens += weight * (outputTokens - known.meanTokens);
    const hasHint =
      outputHintTokens !== undefined && outputHintTokens <= maxTokens;
    if (!hasHint) return;
    known.hintedRuns += 1;
    const hintWeight = Math.max(sampleWeight, 1 / known.hintedRuns);
    known.meanHint += hintWeight * (outputHintTokens - known.meanHint);
  }
}

function bound(value: number, expected: number): number {
  return Math.min(expected * maxFactor, Math.max(expected / maxFactor, value));
}
