/**
 * Admits quarantined requests to trial runs. Guards against this load pattern:
 * many clients repeat requests that are quarantined, most of which no target may
 * receive now; these are rejected at once, without a call to another process.
 */
import {type Clock, type Fingerprint} from '@marigoldpost/common';
import type {Quarantine} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';
import {Trial, type TrialState} from './trial.js';
import {createHeldError, createQuarantinedError} from './trial_errors.js';
import type {TrialSource} from './trial_source.js';

/** Limit of the requests whose state is kept; the oldest are evicted first. */
const maxStates = 10_000;
/** Requests for trials that one entry VM sends in a second. */
const maxAsksPerS = 10;
const millisecondsPerSecond = 1000;
/** Retry-After while a trial runs; most calls of plain services end sooner. */
const runningRetryAfterMs = 300;

/** Dependencies of the gate. */
export interface TrialGateOptions {
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly source: TrialSource;
  readonly metrics: Metrics;
}

/** Trials of one entry VM. */
export class TrialGate {
  private readonly states = new Map<Fingerprint, TrialState>();
  private askedAtMs: number[] = [];

  private constructor(private readonly options: TrialGateOptions) {}

  /**
   * Creates a gate without trials.
   * @param options - Quarantine, and the source of trials.
   */
  static create(options: TrialGateOptions): TrialGate {
    return new TrialGate(options);
  }

  /**
   * Begins a trial of a quarantined request; no other one begins here until it
   * ends. Throws the error to send to the client if no trial may run now.
   * @param fingerprints - Fingerprints under which the request is quarantined.
   * @param logger - Logger of the call.
   */
  enter(fingerprints: readonly Fingerprint[], logger: EventLogger): Trial {
    const {clock, quarantine, source, metrics} = this.options;
    const nowMs = clock.nowMs();
    const states = fingerprints.map((fingerprint) =>
      this.getState(fingerprint),
    );
    for (const {fingerprint, isSpent} of states) {
      if (!isSpent) continue;
      const targets = quarantine.getDeadTargets(fingerprint);
      throw createQuarantinedError(fingerprint, targets, 'not_run');
    }
    for (const {fingerprint, isRunning, retryAtMs} of states) {
      const waitMs = isRunning ? runningRetryAfterMs : retryAtMs - nowMs;
      if (waitMs > 0) throw createHeldError(fingerprint, waitMs);
    }
    this.limitAsks(states, nowMs);
    return Trial.create({states, clock, source, metrics, logger});
  }

  /**
   * Forgets the trials of a request that has completed.
   * @param fingerprint - Request whose quarantine is lifted.
   */
  forget(fingerprint: Fingerprint): void {
    if (!this.states.delete(fingerprint)) return;
    void this.options.source.forget(fingerprint);
  }

  private limitAsks(states: readonly TrialState[], nowMs: number): void {
    const oldestMs = nowMs - millisecondsPerSecond;
    this.askedAtMs = this.askedAtMs.filter((askedMs) => askedMs > oldestMs);
    const [first] = states;
    if (first !== undefined && this.askedAtMs.length >= maxAsksPerS) {
      throw createHeldError(first.fingerprint, millisecondsPerSecond);
    }
    this.askedAtMs.push(nowMs);
  }

  private getState(fingerprint: Fingerprint): TrialState {
    const version = this.options.quarantine.getEntry(fingerprint)?.version ?? 0;
    const known = this.states.get(fingerprint);
    if (known?.version === version) return known;
    const state: TrialState = {
      fingerprint,
      version,
      isRunning: false,
      isSpent: false,
      retryAtMs: Number.NEGATIVE_INFINITY,
    };
    this.states.delete(fingerprint);
    this.states.set(fingerprint, state);
    if (this.states.size > maxStates) {
      const [oldest] = this.states.keys();
      if (oldest !== undefined) this.states.delete(oldest);
    }
    return state;
  }
}
