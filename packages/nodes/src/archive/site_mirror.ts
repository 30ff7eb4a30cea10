/**
 * Copies of the objects that an entry VM needs to serve. Load pattern: an entry
 * VM starts while the object API is away or out of its reach.
 */
import {create} from '@bufbuild/protobuf';
import {
  type PeerReplyBody,
  SiteObjectSchema,
  SiteObjectsSchema,
} from '@marigoldpost/peers';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {ObjectSink} from '../utils/object_sink.js';

/** Mirror of some prefixes of the object API. */
export class SiteMirror {
  private readonly objects = new Map<string, StoredObject>();

  private constructor() {}

  /** Creates an empty mirror. */
  static create(): SiteMirror {
    return new SiteMirror();
  }

  /**
   * Gets a sink that keeps the objects of a prefix.
   * @param prefix - Start of the keys.
   */
  getSink(prefix: string): ObjectSink {
    return {
      replaceObjects: (objects) => this.replaceObjects(prefix, objects),
      applyChange: (change) => this.applyChange(change),
    };
  }

  /** Gets the reply to a daemon that asks for the objects. */
  createReply(): PeerReplyBody {
    const objects = [...this.objects.values()].map(({key, value, version}) =>
      create(SiteObjectSchema, {key, value, version: BigInt(version)}),
    );
    const value = create(SiteObjectsSchema, {objects});
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
