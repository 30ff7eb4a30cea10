/** Source of the permissions to run quarantined requests once. */
import type {Fingerprint} from '@marigoldpost/common';

/** Reply to a request for a trial; `spent` if none may ever run again. */
export type TrialReply =
  | {readonly kind: 'granted'; readonly holder: string}
  | {readonly kind: 'refused'; readonly retryAfterMs: number}
  | {readonly kind: 'spent'};

/**
 * Grants trials, of which all daemons share a small number for each request. No
 * method throws: without a connection to the source no trial is granted.
 */
export abstract class TrialSource {
  /**
   * Asks for a trial of a request.
   * @param fingerprint - Quarantined request.
   * @param version - Version of its quarantine entry.
   */
  abstract take(fingerprint: Fingerprint, version: number): Promise<TrialReply>;

  /**
   * Gives back a trial in which no target has crashed.
   * @param fingerprint - Quarantined request.
   * @param holder - Holder of the trial.
   */
  abstract giveBack(fingerprint: Fingerprint, holder: string): Promise<void>;

  /**
   * Forgets the trials of a request that has completed.
   * @param fingerprint - Request whose quarantine is lifted.
   */
  abstract forget(fingerprint: Fingerprint): Promise<void>;
}
