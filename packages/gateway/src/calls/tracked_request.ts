/** Identifies a request across retries, to track the targets it crashes. */
import {type Fingerprint, getDigest} from '@marigoldpost/common';
import {getFingerprintOfParts} from '@marigoldpost/targets';
import type {IncomingCall} from './incoming_call.js';

/** Identity of a request, which its retries share. */
export interface RequestFingerprint {
  readonly fingerprint: Fingerprint;
  /** Whether requests of other programs may have the same fingerprint. */
  readonly isShared: boolean;
}

/** A call with the body that targets receive. */
export class TrackedRequest {
  private cached: readonly RequestFingerprint[] | undefined;

  private constructor(
    readonly call: IncomingCall,
    private readonly body: Uint8Array,
  ) {}

  /**
   * Creates a tracked request; hashes nothing yet.
   * @param call - Call of a client.
   * @param body - Body that targets receive.
   */
  static create(call: IncomingCall, body: Uint8Array): TrackedRequest {
    return new TrackedRequest(call, body);
  }

  /**
   * Fingerprints that are the same for each retry of the request: one with its
   * program, and one without it, since a restarted program sends the request
   * under a new id. A request of a program without a body has only the first:
   * the status calls of all programs share their path.
   */
  get fingerprints(): readonly RequestFingerprint[] {
    this.cached ??= this.createFingerprints();
    return this.cached;
  }

  private createFingerprints(): RequestFingerprint[] {
    const {method = '', url = '', headers} = this.call.request;
    const {program} = this.call.attributes;
    const {host = ''} = headers;
    const digest = getDigest(this.body);
    const create = (name: string) =>
      getFingerprintOfParts([method, host, url, name, digest]);
    const shared = {fingerprint: create(''), isShared: true};
    if (program === undefined) return [shared];
    const own = {fingerprint: create(program), isShared: false};
    return this.body.byteLength === 0 ? [own] : [own, shared];
  }
}
