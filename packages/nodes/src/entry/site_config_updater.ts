/** Applies the operators' configuration whenever its object changes. */
import {isErrorOfKind} from '@marigoldpost/common';
import type {ObjectChange, StoredObject} from '@marigoldpost/platform';
import type {SiteConfig} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import type {ObjectSink} from '../utils/object_sink.js';

/** Key, decoder and target of the configuration updates. */
export interface SiteConfigUpdaterOptions {
  /** Key of the object that holds the configuration. */
  readonly key: string;
  readonly logger: EventLogger;
  /** Decodes a configuration; throws `config_invalid` when malformed. */
  readonly decode: (object: StoredObject) => SiteConfig;
  /** Applies a configuration; `false` when its version is not newer. */
  readonly apply: (config: SiteConfig) => boolean;
}

/** Decodes and applies each new version; logs and skips invalid ones. */
export class SiteConfigUpdater implements ObjectSink {
  private constructor(private readonly options: SiteConfigUpdaterOptions) {}

  /**
   * Creates an updater.
   * @param options - Key of the object, decoder and consumer.
   */
  static create(options: SiteConfigUpdaterOptions): SiteConfigUpdater {
    return new SiteConfigUpdater(options);
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    for (const object of objects) this.putObject(object);
  }

  applyChange({object}: ObjectChange): void {
    // A removed configuration stays in force, since no other one replaces it.
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
