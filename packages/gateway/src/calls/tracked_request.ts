/** Identifies a request across retries, to track the targets it crashes. */
import {type Fingerprint, getDigest} from '@marigoldpost/common';
import {getFingerprintOfParts} from '@marigoldpost/targets';
import type {IncomingCall} from './incoming_call.js';

/** A call with the body that targets receive. */
export class TrackedRequest {
  private cached: readonly Fingerprint[] | undefined;

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
   * under a new id. Without a body, the latter is only a path, which the calls
   * of many programs share.
   */
  get fingerprints(): readonly Fingerprint[] {
    this.cached ??= this.createFingerprints();
    return this.cached;
  }

  private createFingerprints(): Fingerprint[] {
    const {method = '', url = '', headers} = this.call.request;
    const {host = ''} = headers;
    const {program} = this.call.attributes;
    const digest = getDigest(this.body);
    const names = program === undefined ? [''] : [program, ''];
    return names.map((name) =>
      getFingerprintOfParts([method, host, url, name, digest]),
    );
  }
}
