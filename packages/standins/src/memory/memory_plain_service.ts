/** One instance of a plain service in memory, with switches for faults. */
import type {Clock, TargetId} from '@marigoldpost/common';
import {
  type PlainRequest,
  type PlainResponse,
  PlainServiceClient,
} from '@marigoldpost/targets';
import {PendingAnswers} from './pending_answers.js';
import {PlainLedger, type PlainExecution} from './plain_ledger.js';
import {createCut, createUnreached} from './target_faults.js';

/** What happens to one request. */
export type PlainFault =
  | 'none'
  /** Answers 500 and does not run. */
  | 'fail_before_run'
  /** Never answers and does not run. */
  | 'hang_before_run'
  /** Runs and never answers. */
  | 'hang_after_run'
  /** Runs and drops the connection. */
  | 'lose_answer'
  /** Drops the connection and does not run. */
  | 'cut_before_run'
  /** The process dies before it runs the request. */
  | 'crash_before_run'
  /** The process dies after it ran the request. */
  | 'crash_after_run';

/** Options of an instance. */
export interface MemoryPlainServiceOptions {
  readonly target: TargetId;
  readonly clock: Clock;
  /** Longest wait of a client, in milliseconds. */
  readonly timeoutMs: number;
  /** Time that a request takes; half of it before the effect. */
  readonly latencyMs?: number;
  /** Whether a key that ran gets its first answer again. */
  readonly deduplicatesByKey?: boolean;
  /** Shared by the instances of a service; its own by default. */
  readonly ledger?: PlainLedger;
}

const keyHeader = 'idempotency-key';
const okStatus = 200;
const failedStatus = 500;

/** Instance of a plain service; every request that runs has an effect. */
export class MemoryPlainService extends PlainServiceClient {
  readonly ledger: PlainLedger;
  private readonly pending: PendingAnswers;
  private readonly faults: PlainFault[] = [];
  private readonly deathListeners = new Set<() => void>();
  private crashText: string | undefined;
  private alive = true;
  private lives = 0;
  private arrivals = 0;

  private constructor(private readonly options: MemoryPlainServiceOptions) {
    super();
    this.ledger = options.ledger ?? PlainLedger.create();
    this.pending = PendingAnswers.create(options);
  }

  /**
   * Creates an instance that is up.
   * @param options - Target, clock and behaviour.
   */
  static create(options: MemoryPlainServiceOptions): MemoryPlainService {
    return new MemoryPlainService(options);
  }

  /** Whether the process runs. */
  get isAlive(): boolean {
    return this.alive;
  }

  /** Number of requests that reached the process. */
  get arrivalCount(): number {
    return this.arrivals;
  }

  /**
   * Sets what happens to the next requests, in order of arrival.
   * @param faults - One for each request.
   */
  addFaults(...faults: PlainFault[]): void {
    this.faults.push(...faults);
  }

  /**
   * Makes every request crash the process whose body has a text in it.
   * @param text - The text; none ends this.
   */
  setCrashText(text: string | undefined): void {
    this.crashText = text;
  }

  /** Ends the process; requests in flight are cut off. */
  kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.lives += 1;
    this.pending.cutAll();
    for (const listener of this.deathListeners) listener();
  }

  /** Starts the process again. */
  restart(): void {
    this.alive = true;
  }

  /**
   * Adds a listener for the process's death.
   * @param listener - Called at each death.
   */
  addDeathListener(listener: () => void): void {
    this.deathListeners.add(listener);
  }

  /** Gets what the service's instances have run. */
  getExecutions(): readonly PlainExecution[] {
    return this.ledger.getExecutions();
  }

  override async send(
    request: PlainRequest,
    signal: AbortSignal,
  ): Promise<PlainResponse> {
    if (!this.alive) throw createUnreached(this.options.target);
    this.arrivals += 1;
    return this.pending.waitFor(this.run(request), signal);
  }

  private async run(request: PlainRequest): Promise<PlainResponse> {
    const fault = this.takeFault(request);
    const life = this.lives;
    await this.waitHalf();
    if (this.lives !== life) return never();
    this.failBefore(fault);
    if (fault === 'hang_before_run') return never();
    if (fault === 'fail_before_run') return createAnswer(failedStatus, '');
    const answer = this.execute(request);
    if (fault === 'crash_after_run') this.kill();
    if (fault === 'hang_after_run') return never();
    if (fault === 'lose_answer') throw createCut(this.options.target);
    await this.waitHalf();
    return answer;
  }

  private failBefore(fault: PlainFault): void {
    if (fault === 'crash_before_run') this.kill();
    const isCut = fault === 'crash_before_run' || fault === 'cut_before_run';
    if (isCut) throw createCut(this.options.target);
  }

  private takeFault(request: PlainRequest): PlainFault {
    const {crashText} = this;
    if (crashText !== undefined && request.body.includes(crashText)) {
      return 'crash_before_run';
    }
    return this.faults.shift() ?? 'none';
  }

  private execute(request: PlainRequest): PlainResponse {
    const {target, clock, deduplicatesByKey = false} = this.options;
    const key = getKey(request);
    const earlier = deduplicatesByKey ? this.ledger.getAnswer(key) : undefined;
    if (earlier !== undefined) return earlier;
    const {method, path, body} = request;
    const number = this.ledger.getExecutions().length + 1;
    const answer = createAnswer(okStatus, JSON.stringify({number, key}));
    const atMs = clock.nowMs();
    this.ledger.addExecution({target, key, method, path, body, atMs}, answer);
    return answer;
  }

  private async waitHalf(): Promise<void> {
    const {clock, latencyMs = 0} = this.options;
    if (latencyMs > 0) await clock.sleep(latencyMs / 2);
  }
}

function getKey({headers}: PlainRequest): string {
  const entries = Object.entries(headers);
  const found = entries.find(([name]) => name.toLowerCase() === keyHeader);
  return found?.[1] ?? '';
}

function createAnswer(status: number, body: string): PlainResponse {
  return {status, headers: {'content-type': 'application/json'}, body};
}

function never(): Promise<never> {
  return new Promise(() => {});
}
