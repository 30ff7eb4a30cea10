/** Identifies a request across retries, to track the targets it crashes. */
import {type Fingerprint, getDigest} from '@marigoldpost/common';
import {getFingerprintOfParts} from '@marigoldpost/targets';
import type {IncomingCall} from './incoming_call.js';

/** A call with the body that targets receive. */
export class TrackedRequest {
  private cached: {readonly fingerprint: Fingerprint | undefined} | undefined;

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
   * Fingerprint that is the same for each retry of the request. It is
   * `undefined` for a request with neither program nor body: only its path would
   * identify it, and other requests share that.
   */
  get fingerprint(): Fingerprint | undefined {
    this.cached ??= {fingerprint: this.createFingerprint()};
    return this.cached.fingerprint;
  }

  private createFingerprint(): Fingerprint | undefined {
    const {method = '', url = '', headers} = this.call.request;
    const {program} = this.call.attributes;
    if (program === undefined && this.body.byteLength === 0) return undefined;
    const {host = ''} = headers;
    const parts = [method, host, url, program ?? '', getDigest(this.body)];
    return getFingerprintOfParts(parts);
  }
}
