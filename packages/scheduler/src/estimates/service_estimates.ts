/** What the scheduler has learnt about the calls of one service. */
import {LinearEstimate} from './linear_estimate.js';

const smoothing = 0.05;
const initialPrefillMsPerToken = 0.1;
const initialDecodeMs = 20;
const initialOutputTokens = 100;
const initialCallMs = 2_000;

/** Times of a finished call. */
export interface CallObservation {
  readonly uncachedTokens: number;
  readonly completionTokens: number;
  /** Calls on the target when this one started, itself included. */
  readonly batchSize: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** Learnt speeds and lengths. */
export class ServiceEstimates {
  /** Time to the first token by tokens that had to be prefilled. */
  private readonly firstToken = LinearEstimate.create(
    0,
    initialPrefillMsPerToken,
  );
  /** Time for each token by batch size. */
  private readonly decode = LinearEstimate.create(initialDecodeMs, 0);
  private meanOutputTokens = initialOutputTokens;
  private meanCallMs = initialCallMs;
  private meanPrefillMs = 0;

  private constructor() {}

  /** Creates estimates from ordinary speeds. */
  static create(): ServiceEstimates {
    return new ServiceEstimates();
  }

  /** Expected tokens of an answer. */
  get outputTokens(): number {
    return this.meanOutputTokens;
  }

  /** Expected time that a call spends on its target, in milliseconds. */
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

  /** Expected time for each token of an answer alone on a target. */
  get decodeBaseMs(): number {
    return this.decode.base;
  }

  /** Further time for each token by each call on the target. */
  get decodeMsPerCall(): number {
    return this.decode.slope;
  }

  /**
   * Learns how long a finished call took, of a plain service too.
   * @param totalMs - Time on the target, in milliseconds.
   */
  addCallTime(totalMs: number): void {
    this.meanCallMs += smoothing * (totalMs - this.meanCallMs);
  }

  /**
   * Learns from a finished call.
   * @param observation - Its times.
   */
  addObservation(observation: CallObservation): void {
    const {uncachedTokens, completionTokens, firstTokenMs} = observation;
    this.firstToken.addObservation(uncachedTokens, firstTokenMs);
    this.meanPrefillMs += smoothing * (firstTokenMs - this.meanPrefillMs);
    this.addCallTime(observation.totalMs);
    this.meanOutputTokens +=
      smoothing * (completionTokens - this.meanOutputTokens);
    if (completionTokens < 2) return;
    const decodeMs = observation.totalMs - firstTokenMs;
    this.decode.addObservation(
      observation.batchSize,
      decodeMs / (completionTokens - 1),
    );
  }
}
