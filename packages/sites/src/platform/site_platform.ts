/** What the product needs to know of the platform that it runs on. */
import type {ObjectStore, StoredObject} from '@marigoldpost/platform';
import type {CallCodec} from '../calls/call_codec.js';
import type {SiteConfig} from '../config/site_config.js';
import type {TargetEntry} from '../targets/target_entry.js';

/** Request to empty an archive VM before it is taken away. */
export interface RetirementRequest {
  /** Daemon whose VM is to be emptied. */
  readonly daemon: string;
  readonly isComplete: boolean;
}

/** State of a retirement as the platform is told. */
export type RetirementState = 'running' | 'complete';

/** Keys of the objects that the platform and the operators write. */
export interface SiteKeys {
  readonly config: string;
  readonly targetPrefix: string;
  readonly retirementPrefix: string;
}

/** Store of the platform's objects, with the state of retirements. */
export abstract class SitePlatform {
  abstract readonly store: ObjectStore;
  abstract readonly codec: CallCodec;
  abstract readonly keys: SiteKeys;

  /**
   * Reads a configuration; throws `config_invalid` for anything else.
   * @param object - The object that holds it.
   */
  abstract decodeConfig(object: StoredObject): SiteConfig;

  /**
   * Reads a target's entry; nothing when it names no usable target.
   * @param object - The object that holds it.
   */
  abstract decodeTarget(object: StoredObject): TargetEntry | undefined;

  /**
   * Reads a retirement.
   * @param object - The object that holds it.
   */
  abstract decodeRetirement(object: StoredObject): RetirementRequest;

  /**
   * Tells the platform how far a retirement is.
   * @param daemon - Daemon whose VM is emptied.
   * @param state - How far it is.
   */
  abstract reportRetirement(
    daemon: string,
    state: RetirementState,
  ): Promise<void>;
}
