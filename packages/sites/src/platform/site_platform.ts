/** Interface to the platform that a site runs on. */
import type {ObjectStore, StoredObject} from '@marigoldpost/platform';
import type {CallCodec} from '../calls/call_codec.js';
import type {SiteConfig} from '../config/site_config.js';
import type {TargetEntry} from '../targets/target_entry.js';

/** Request to retire an archive: to move its turns before its VM is removed. */
export interface RetirementRequest {
  /** Daemon of the archive VM to retire. */
  readonly daemon: string;
  readonly isComplete: boolean;
}

/** State of a retirement as reported to the platform. */
export type RetirementState = 'running' | 'complete';

/** Keys and key prefixes of objects that platform and operators write. */
export interface SiteKeys {
  readonly config: string;
  readonly targetPrefix: string;
  readonly retirementPrefix: string;
}

/** Gives access to the platform's objects and decodes them. */
export abstract class SitePlatform {
  abstract readonly store: ObjectStore;
  abstract readonly codec: CallCodec;
  abstract readonly keys: SiteKeys;

  /**
   * Decodes a configuration; throws `config_invalid` when it is malformed.
   * @param object - Object at `keys.config`.
   */
  abstract decodeConfig(object: StoredObject): SiteConfig;

  /**
   * Decodes a target's entry; `undefined` when it describes no usable target.
   * @param object - Object under `keys.targetPrefix`.
   */
  abstract decodeTarget(object: StoredObject): TargetEntry | undefined;

  /**
   * Decodes a retirement request and its state.
   * @param object - Object under `keys.retirementPrefix`.
   */
  abstract decodeRetirement(object: StoredObject): RetirementRequest;

  /**
   * Reports the state of a retirement to the platform.
   * @param daemon - Daemon of the archive VM that is retired.
   * @param state - New state of the retirement.
   */
  abstract reportRetirement(
    daemon: string,
    state: RetirementState,
  ): Promise<void>;
}
