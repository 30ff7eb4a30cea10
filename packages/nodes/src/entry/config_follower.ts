/** Puts the operators' configuration in force as it changes. */
import {isErrorOfKind} from '@marigoldpost/common';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {SiteConfig} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ObjectSink} from '../utils/object_sink.js';

/** Options of a follower. */
export interface SiteConfigFollowerOptions {
  /** Key of the object that holds the configuration. */
  readonly key: string;
  readonly logger: EventLogger;
  /** Reads a configuration; throws `config_invalid`. */
  readonly decode: (object: StoredObject) => SiteConfig;
  /** Puts a configuration in force; false for one that is not newer. */
  readonly apply: (config: SiteConfig) => boolean;
}

/** Follower of one configuration. */
export class SiteConfigFollower implements ObjectSink {
  private constructor(private readonly options: SiteConfigFollowerOptions) {}

  /**
   * Creates a follower.
   * @param options - The object and what is done with it.
   */
  static create(options: SiteConfigFollowerOptions): SiteConfigFollower {
    return new SiteConfigFollower(options);
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    for (const object of objects) this.putObject(object);
  }

  applyChange({object}: ObjectChange): void {
    // A removed configuration stays in force: nothing says what comes instead.
    if (object !== undefined) this.putObject(object);
  }

  private putObject(object: StoredObject): void {
    const {key, logger, decode, apply} = this.options;
    if (object.key !== key) return;
    try {
      const config = decode(object);
      if (!apply(config)) return;
      const {version, routes} = config;
      const fields = {version, routes: routes.length, revision: object.version};
      logger.log('site_config_in_force', fields);
    } catch (error) {
      if (!isErrorOfKind(error, 'config_invalid')) throw error;
      logger.log('config_rejected', {kind: error.message});
    }
  }
}
