/** Finds who a key belongs to. */
import {getDigest, MarigoldpostError} from '@marigoldpost/common';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Owners by the hash of their keys. */
export class KeyIndex<Owner extends {readonly keyHashes: readonly string[]}> {
  private readonly ownerOfHash: ReadonlyMap<string, Owner>;

  private constructor(owners: Iterable<Owner>) {
    const pairs = [...owners].flatMap((owner) =>
      owner.keyHashes.map((hash) => [hash, owner] as const),
    );
    this.ownerOfHash = new Map(pairs);
  }

  /**
   * Creates an index.
   * @param owners - Those who have keys.
   */
  static create<Owner extends {readonly keyHashes: readonly string[]}>(
    owners: Iterable<Owner>,
  ): KeyIndex<Owner> {
    return new KeyIndex(owners);
  }

  /**
   * Gets the owner of the key in an `Authorization` header; throws
   * `unauthenticated` when there is none.
   * @param authorization - The header.
   */
  getOwnerOrThrow(authorization: string | undefined): Owner {
    const key = bearerPattern.exec(authorization ?? '')?.[1];
    const owner =
      key === undefined ? undefined : this.ownerOfHash.get(getDigest(key));
    if (owner !== undefined) return owner;
    const message =
      key === undefined
        ? 'the Authorization header must be "Bearer <key>"'
        : 'the key is not known';
    throw MarigoldpostError.create('unauthenticated', message);
  }
}
