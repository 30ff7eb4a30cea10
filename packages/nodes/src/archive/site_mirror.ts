/**
 * Copies of the objects that an entry VM needs to start serving, for an entry
 * VM that starts while the object API is down or unreachable for it.
 */
import {create} from '@bufbuild/protobuf';
import {
  type PeerReplyBody,
  SiteObjectSchema,
  SiteObjectsSchema,
  SiteVersionSchema,
} from '@marigoldpost/peers';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {ObjectSink} from '../utils/object_sink.js';

/** In-memory copy of the objects under the prefixes that feed its sinks. */
export class SiteMirror {
  private readonly objects = new Map<string, StoredObject>();

  private constructor() {}

  /** Creates an empty mirror. */
  static create(): SiteMirror {
    return new SiteMirror();
  }

  /**
   * Gets a sink that stores the objects of a prefix in the mirror.
   * @param prefix - Key prefix of the objects.
   */
  getSink(prefix: string): ObjectSink {
    return {
      replaceObjects: (objects) => this.replaceObjects(prefix, objects),
      applyChange: (change) => this.applyChange(change),
    };
  }

  /**
   * Creates the reply to a `fetchSite` request: all mirrored objects.
   * @param known - Version up to which the objects of each prefix are known.
   */
  createReply(known: ReadonlyMap<string, number>): PeerReplyBody {
    const objects = [...this.objects.values()].map(({key, value, version}) =>
      create(SiteObjectSchema, {key, value, version: BigInt(version)}),
    );
    const versions = [...known].map(([prefix, version]) =>
      create(SiteVersionSchema, {prefix, version: BigInt(version)}),
    );
    const value = create(SiteObjectsSchema, {objects, versions});
    return {case: 'siteObjects', value};
  }

  private replaceObjects(
    prefix: string,
    objects: readonly StoredObject[],
  ): void {
    for (const key of [...this.objects.keys()]) {
      if (key.startsWith(prefix)) this.objects.delete(key);
    }
    for (const object of objects) this.objects.set(object.key, object);
  }

  private applyChange({key, object}: ObjectChange): void {
    if (object === undefined) this.objects.delete(key);
    else this.objects.set(key, object);
  }
}
