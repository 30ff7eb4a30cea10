/** One run of a quarantined request, whose end decides about the quarantine. */
import type {Clock, Fingerprint} from '@marigoldpost/common';
import {trialPauseMs} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {createHeldError, createQuarantinedError} from './trial_errors.js';
import type {TrialReply, TrialSource} from './trial_source.js';

/**
 * Longest wait for the reply to a request for a trial. A trial that is granted
 * later is given back.
 */
const takeTimeoutMs = 400;
/** Pause after a trial that no target has run. */
const notRunPauseMs = 500;

/** What this entry VM knows of the trials of a request. */
export interface TrialState {
  readonly fingerprint: Fingerprint;
  /** Version of the quarantine entry. */
  readonly version: number;
  /** Whether a trial of this entry VM has not ended. */
  isRunning: boolean;
  /** Whether no trial may ever run again. */
  isSpent: boolean;
  /** When the next trial may be asked for, on the daemon's clock. */
  retryAtMs: number;
}

/** States of the request's fingerprints, and dependencies. */
export interface TrialOptions {
  readonly states: readonly TrialState[];
  readonly clock: Clock;
  readonly source: TrialSource;
  readonly metrics: Metrics;
  readonly logger: EventLogger;
}

/** A trial that one entry VM has been granted. */
interface GrantedTrial {
  readonly fingerprint: Fingerprint;
  readonly holder: string;
}

/**
 * How a trial has ended: `not_run` if no target has received the request,
 * `survived` if its target lives on, `unknown` if its target may have crashed.
 */
export type TrialEnd = 'not_run' | 'survived' | 'unknown';

/** A trial of this entry VM. */
export class Trial {
  private granted: GrantedTrial[] = [];
  private isGranted = false;
  private hasEnded = false;

  private constructor(private readonly options: TrialOptions) {
    for (const state of options.states) state.isRunning = true;
  }

  /**
   * Creates a trial that has not been granted.
   * @param options - States of the request's fingerprints.
   */
  static create(options: TrialOptions): Trial {
    return new Trial(options);
  }

  /**
   * Waits until the trial is granted, unless it has been before. Throws the error
   * to send to the client if it is not.
   */
  async confirm(): Promise<void> {
    if (this.isGranted) return;
    const {states, clock, logger} = this.options;
    for (const state of states) {
      const {fingerprint, version} = state;
      const reply = await this.take(fingerprint, version);
      if (reply.kind === 'granted') {
        this.granted.push({fingerprint, holder: reply.holder});
        continue;
      }
      const {kind} = reply;
      logger.log('trial_refused', {fingerprint, reason: kind});
      this.count(kind);
      this.end('not_run');
      if (reply.kind === 'spent') {
        state.isSpent = true;
        throw createQuarantinedError(fingerprint, [], 'not_run');
      }
      state.retryAtMs = clock.nowMs() + reply.retryAfterMs;
      throw createHeldError(fingerprint, reply.retryAfterMs);
    }
    this.isGranted = true;
    this.count('granted');
  }

  /**
   * Ends the trial, once; later calls have no effect.
   * @param end - What became of the request.
   */
  end(end: TrialEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const {states, logger} = this.options;
    const pauseMs = end === 'unknown' ? trialPauseMs : notRunPauseMs;
    const retryAtMs = this.options.clock.nowMs() + pauseMs;
    for (const state of states) {
      state.isRunning = false;
      state.retryAtMs = retryAtMs;
    }
    for (const {fingerprint} of this.granted) {
      logger.log('trial_ended', {fingerprint, result: end});
    }
    this.count(end);
    if (end !== 'unknown') this.giveBack();
  }

  /** Gives the trial back, as its target has not crashed. */
  giveBack(): void {
    const {source} = this.options;
    for (const {fingerprint, holder} of this.granted) {
      void source.giveBack(fingerprint, holder);
    }
    this.granted = [];
  }

  private async take(
    fingerprint: Fingerprint,
    version: number,
  ): Promise<TrialReply> {
    const {clock, source} = this.options;
    const controller = new AbortController();
    const taking = source.take(fingerprint, version);
    const refused: TrialReply = {kind: 'refused', retryAfterMs: notRunPauseMs};
    const timeout = clock
      .sleep(takeTimeoutMs, controller.signal)
      .then(() => undefined)
      .catch(() => undefined);
    const reply = await Promise.race([taking, timeout]);
    controller.abort();
    if (reply !== undefined) return reply;
    void taking.then((late) => {
      if (late.kind !== 'granted') return;
      void source.giveBack(fingerprint, late.holder);
    });
    return refused;
  }

  private count(result: string): void {
    this.options.metrics.addToCounter('trial_runs_total', {result});
  }
}
