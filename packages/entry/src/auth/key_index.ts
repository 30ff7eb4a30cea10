/** Authenticates API keys by their hashes. */
import {getDigest, MarigoldpostError} from '@marigoldpost/common';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Maps key hashes to the owners of the keys. */
export class KeyIndex<Owner extends {readonly keyHashes: readonly string[]}> {
  private readonly ownersByKeyHash: ReadonlyMap<string, Owner>;

  private constructor(owners: Iterable<Owner>) {
    const pairs = [...owners].flatMap((owner) =>
      owner.keyHashes.map((hash) => [hash, owner] as const),
    );
    this.ownersByKeyHash = new Map(pairs);
  }

  /**
   * Creates an index of all key hashes.
   * @param owners - Teams or operators with the hashes of their keys.
   */
  static create<Owner extends {readonly keyHashes: readonly string[]}>(
    owners: Iterable<Owner>,
  ): KeyIndex<Owner> {
    return new KeyIndex(owners);
  }

  /**
   * Gets the owner of the bearer key in an `Authorization` header. Throws
   * `unauthenticated` if the header is missing or malformed, or the key is
   * unknown.
   * @param authorization - Value of the header; `undefined` if missing.
   */
  getOwnerOrThrow(authorization: string | undefined): Owner {
    const key = bearerPattern.exec(authorization ?? '')?.[1];
    const owner =
      key === undefined ? undefined : this.ownersByKeyHash.get(getDigest(key));
    if (owner !== undefined) return owner;
    const message =
      key === undefined
        ? 'the Authorization header must be "Bearer <key>"'
        : 'the key in the Authorization header is unknown';
    throw MarigoldpostError.create('unauthenticated', message);
  }
}
