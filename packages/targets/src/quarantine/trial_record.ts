/**
 * Trial runs of quarantined requests. Answers two load patterns that look the
 * same until the request runs again: one request that crashes each target, and
 * sound requests whose targets were all lost at once.
 */
import type {Fingerprint} from '@marigoldpost/common';

/** Permission of one daemon to run a quarantined request once. */
export interface TrialRun {
  /** Daemon and run that hold the permission; unique. */
  readonly holder: string;
  /** Wall time at the holder, in milliseconds since 1970. */
  readonly grantedAtMs: number;
}

/** Trial runs of one quarantined request, which all daemons share. */
export interface TrialRecord {
  readonly fingerprint: Fingerprint;
  /** Version of the quarantine entry that the trials belong to. */
  readonly version: number;
  /** Trials that are running or may have crashed their target. */
  readonly trials: readonly TrialRun[];
}

/** A request for a trial run. */
export interface TrialRequest {
  readonly fingerprint: Fingerprint;
  /** Version of the quarantine entry that the daemon knows. */
  readonly version: number;
  readonly holder: string;
  /** Wall time, in milliseconds since 1970. */
  readonly nowMs: number;
}

/** Whether a trial may run; `spent` if none may ever run again. */
export type TrialDecision =
  | {readonly kind: 'granted'; readonly record: TrialRecord}
  | {readonly kind: 'refused'; readonly retryAfterMs: number}
  | {readonly kind: 'spent'};

/**
 * Trials that may crash a target. A request may reach targets three times once
 * all daemons can know of its third crash; one of these is left for a daemon
 * that does not know of it yet.
 */
export const maxTrials = 2;

/** Pause after a trial; longer than a crashed target takes to return. */
export const trialPauseMs = 5000;

/** Time after which the last trial is not expected to complete. */
const verdictMs = 15_000;

/** Wait for the end of a quarantine that another daemon has lifted. */
const liftDelayMs = 1000;

/**
 * Decides whether a quarantined request may run once.
 * @param record - Record that all daemons share; `undefined` if there is none.
 * @param request - Daemon that asks, and the quarantine that it knows.
 */
export function decideTrial(
  record: TrialRecord | undefined,
  {fingerprint, version, holder, nowMs}: TrialRequest,
): TrialDecision {
  if (record !== undefined && record.version > version) {
    return {kind: 'refused', retryAfterMs: liftDelayMs};
  }
  const trials = record?.version === version ? record.trials : [];
  const last = trials.at(-1);
  if (last !== undefined) {
    // A clock that is behind must not lengthen the pause.
    const passedMs = Math.max(0, nowMs - last.grantedAtMs);
    const isLast = trials.length >= maxTrials;
    const pauseMs = isLast ? verdictMs : trialPauseMs;
    if (passedMs < pauseMs) {
      return {kind: 'refused', retryAfterMs: pauseMs - passedMs};
    }
    if (isLast) return {kind: 'spent'};
  }
  const trial = {holder, grantedAtMs: nowMs};
  return {
    kind: 'granted',
    record: {fingerprint, version, trials: [...trials, trial]},
  };
}

/**
 * Takes a trial that has crashed no target out of a record. Returns `undefined`
 * if the record does not have it.
 * @param record - Record that all daemons share.
 * @param holder - Holder of the trial.
 */
export function withoutTrial(
  record: TrialRecord,
  holder: string,
): TrialRecord | undefined {
  const trials = record.trials.filter((trial) => trial.holder !== holder);
  if (trials.length === record.trials.length) return undefined;
  return {...record, trials};
}
