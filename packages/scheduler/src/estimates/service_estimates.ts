/** Estimates of durations and output lengths of the calls of one service. */
import {LinearEstimate} from './linear_estimate.js';

const sampleWeight = 0.05;
const initialPrefillMsPerToken = 0.1;
const initialDecodeMs = 20;
const initialOutputTokens = 100;
const initialCallMs = 2_000;

/** Measured tokens and durations of a finished call. */
export interface CallObservation {
  readonly uncachedTokens: number;
  readonly completionTokens: number;
  /** Calls on the target when this one started, including itself. */
  readonly batchSize: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** Moving averages and regressions over the finished calls. */
export class ServiceEstimates {
  /** Time to the first token, by the number of uncached prompt tokens. */
  private readonly firstToken = LinearEstimate.create(
    0,
    initialPrefillMsPerToken,
  );
  /** Decode time per token, by batch size. */
  private readonly decode = LinearEstimate.create(initialDecodeMs, 0);
  private meanOutputTokens = initialOutputTokens;
  private meanCallMs = initialCallMs;
  private meanPrefillMs = 0;

  private constructor() {}

  /** Creates estimates with initial values of a typical engine. */
  static create(): ServiceEstimates {
    return new ServiceEstimates();
  }

  /** Expected number of completion tokens of a call. */
  get outputTokens(): number {
    return this.meanOutputTokens;
  }

  /** Expected time of a call on its target, in milliseconds. */
  get callMs(): number {
    return this.meanCallMs;
  }

  /** Expected time to prefill one token, in milliseconds. */
  get prefillMsPerToken(): number {
    return this.firstToken.slope;
  }

  /** Expected time to the first token, in milliseconds. */
  get prefillMs(): number {
    return this.meanPrefillMs;
  }

  /** Expected decode time per token without other calls, in ms. */
  get decodeBaseMs(): number {
    return this.decode.base;
  }

  /** Additional decode time per token for each call on the target, in ms. */
  get decodeMsPerCall(): number {
    return this.decode.slope;
  }

  /**
   * Adds the duration of a finished call, also for plain services.
   * @param totalMs - Time on the target, in milliseconds.
   */
  addCallTime(totalMs: number): void {
    this.meanCallMs += sampleWeight * (totalMs - this.meanCallMs);
  }

  /**
   * Adds the measurements of a finished call to a model engine.
   * @param observation - Tokens and durations of the call.
   */
  addObservation(observation: CallObservation): void {
    const {uncachedTokens, completionTokens, firstTokenMs} = observation;
    this.firstToken.addObservation(uncachedTokens, firstTokenMs);
    this.meanPrefillMs += sampleWeight * (firstTokenMs - this.meanPrefillMs);
    this.addCallTime(observation.totalMs);
    this.meanOutputTokens +=
      sampleWeight * (completionTokens - this.meanOutputTokens);
    if (completionTokens < 2) return;
    const decodeMs = observation.totalMs - firstTokenMs;
    this.decode.addObservation(
      observation.batchSize,
      decodeMs / (completionTokens - 1),
    );
  }
}
