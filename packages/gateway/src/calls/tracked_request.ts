/** Identifies a request across retries, to track the targets it crashes. */
import {type Fingerprint, getDigest} from '@marigoldpost/common';
import {getFingerprintOfParts} from '@marigoldpost/targets';
import type {IncomingCall} from './incoming_call.js';

/** Limit of the length of an identity that is not hashed. */
const maxIdentityLength = 1024;

/**
 * Crashes that are added for a request of a program that others may share only
 * the path of. One less than the retries that may reach targets later than the
 * third crash, since another one may be running at the last.
 */
const pathOnlyExtraDeaths = 2;

/** Identity of a request, which its retries share. */
export interface RequestFingerprint {
  readonly fingerprint: Fingerprint;
  /** What the fingerprint is computed from; `undefined` if it is too long. */
  readonly identity: string | undefined;
  /** Whether requests of other programs may have the same fingerprint. */
  readonly isShared: boolean;
  /** Crashes by which the request is rejected later than others. */
  readonly extraDeaths: number;
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
   * under a new id. Without a body, the latter is only a path, which the calls
   * of many programs share: some more of these run after the crashes that reject
   * others, and the first one to complete lifts the quarantine.
   */
  get fingerprints(): readonly RequestFingerprint[] {
    this.cached ??= this.createFingerprints();
    return this.cached;
  }

  /** Identities of the fingerprints; hashes nothing. */
  get identities(): readonly string[] {
    const {method = '', url = '', headers} = this.call.request;
    const {host = ''} = headers;
    const {buffer, byteOffset, byteLength} = this.body;
    const length = method.length + url.length + host.length + byteLength;
    if (length > maxIdentityLength) return [];
    const body = Buffer.from(buffer, byteOffset, byteLength).toString('latin1');
    return this.names.map((name) => [method, host, url, name, body].join('\n'));
  }

  /** Names of the program under which the request is known, '' for none. */
  private get names(): readonly string[] {
    const {program} = this.call.attributes;
    return program === undefined ? [''] : [program, ''];
  }

  private createFingerprints(): RequestFingerprint[] {
    const {method = '', url = '', headers} = this.call.request;
    const {host = ''} = headers;
    const digest = getDigest(this.body);
    const {identities, names} = this;
    const isPathOnly = names.length > 1 && this.body.byteLength === 0;
    return names.map((name, index) => ({
      fingerprint: getFingerprintOfParts([method, host, url, name, digest]),
      identity: identities[index],
      isShared: name === '',
      extraDeaths: isPathOnly && name === '' ? pathOnlyExtraDeaths : 0,
    }));
  }
}
