/** Changes the operators' configuration and keeps an audit trail. */
import {
  Backoff,
  type Clock,
  isErrorOfKind,
  MarigoldpostError,
  type Random,
} from '@marigoldpost/common';
import type {ObjectStore, StoredObject} from '@marigoldpost/platform';
import {
  formatLineDifferences,
  getLineDifferences,
  type LineDifference,
} from '../utils/line_difference.js';
import {
  auditPrefix,
  getAuditKey,
  getConfigHash,
  configKey,
  type ConfigRecord,
  type ParseConfig,
  parseConfigRecord,
} from './config_record.js';

const maxTries = 5;
const backoffOptions = {baseMs: 100, maxMs: 2000};
const changeIdLength = 20;
const defaultAuditEntries = 50;

/** The platform's store, clock, random source and parser. */
export interface ConfigStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly parse: ParseConfig;
}

/** A change that an operator requests. */
export interface ConfigChange {
  readonly text: string;
  /** Version that the operator edited; 0 for the first configuration. */
  readonly baseVersion: number;
  readonly author: string;
  readonly why: string;
}

/** One change of the audit trail. */
export interface AuditEntry {
  readonly version: number;
  readonly author: string;
  readonly why: string;
  /** Wall time of the change, in milliseconds since 1970. */
  readonly atMs: number;
  readonly hash: string;
  readonly differences: readonly LineDifference[];
}

/** How much of the audit trail to read. */
export interface AuditTrailOptions {
  /** Maximum number of changes, newest first; 50 by default. */
  readonly limit?: number;
}

/** The newest record in the platform, with the object that holds it. */
interface CurrentConfig {
  readonly object: StoredObject;
  readonly record: ConfigRecord;
}

/** Reads and changes the configuration that the platform stores. */
export class ConfigStore {
  private constructor(private readonly options: ConfigStoreOptions) {}

  /**
   * Creates a store on top of the platform's object store.
   * @param options - The platform's store, clock, random source and parser.
   */
  static create(options: ConfigStoreOptions): ConfigStore {
    return new ConfigStore(options);
  }

  /** Gets the newest accepted configuration; throws `store_unavailable`. */
  async getConfig(): Promise<ConfigRecord | undefined> {
    return (await this.readCurrent())?.record;
  }

  /**
   * Replaces the configuration. Throws `config_invalid` with all problems,
   * `config_conflict` if another change came first, `store_unavailable` if the
   * configuration was not changed, and `store_ambiguous` if that is unknown.
   * @param change - New text, the version edited, author and reason.
   */
  async applyChange(change: ConfigChange): Promise<ConfigRecord> {
    this.options.parse(change.text);
    const changeId = this.options.random.nextToken(changeIdLength);
    const backoff = Backoff.create(backoffOptions, this.options.random);
    let cause: MarigoldpostError | undefined;
    for (let tries = 0; tries < maxTries; tries++) {
      if (tries > 0) await this.options.clock.sleep(backoff.nextDelayMs());
      try {
        return await this.attemptChange(change, changeId);
      } catch (error) {
        if (isErrorOfKind(error, 'store_ambiguous')) cause = error;
        else if (!isRetryable(error)) throw error;
        else if (tries === maxTries - 1 && cause === undefined) throw error;
      }
    }
    throw createAmbiguousError(change, cause);
  }

  /**
   * Gets the author, reason, time and differences of changes, newest first.
   * @param options - Maximum number of changes.
   */
  async getAuditTrail(options: AuditTrailOptions = {}): Promise<AuditEntry[]> {
    const {limit = defaultAuditEntries} = options;
    const current = await this.getConfig();
    if (current === undefined) return [];
    const oldest = Math.max(0, current.version - limit - 1);
    const objects = await this.options.store.listObjects(auditPrefix, {
      afterKey: getAuditKey(oldest),
      limit: limit + 1,
    });
    const former = objects
      .map(({value}) => parseConfigRecord(value))
      .filter(({version}) => version < current.version);
    return toEntries([...former, current])
      .reverse()
      .slice(0, limit);
  }

  /** Makes one attempt; an earlier attempt's write may have succeeded. */
  private async attemptChange(
    change: ConfigChange,
    changeId: string,
  ): Promise<ConfigRecord> {
    const current = await this.readCurrent();
    const version = current?.record.version ?? 0;
    if (version !== change.baseVersion) {
      return this.getOwnChangeOrThrow(change, changeId, current?.record);
    }
    if (current !== undefined) await this.addAuditRecord(current.record);
    const record = this.createRecord(change, changeId, current?.record);
    await this.write(record, current?.object);
    return record;
  }

  private createRecord(
    {text, author, why, baseVersion}: ConfigChange,
    changeId: string,
    previous: ConfigRecord | undefined,
  ): ConfigRecord {
    return {
      version: baseVersion + 1,
      text,
      author,
      why,
      atMs: this.options.clock.wallTimeMs(),
      previousHash: previous === undefined ? '' : getConfigHash(previous.text),
      changeId,
    };
  }

  private async write(
    record: ConfigRecord,
    replaced: StoredObject | undefined,
  ): Promise<void> {
    const {store} = this.options;
    const value = JSON.stringify(record);
    if (replaced === undefined) {
      await store.createObject(configKey, value);
      return;
    }
    await store.updateObject(configKey, value, replaced.version);
  }

  /** Stores a record before it is replaced; every attempt writes the same. */
  private async addAuditRecord(record: ConfigRecord): Promise<void> {
    const key = getAuditKey(record.version);
    try {
      await this.options.store.createObject(key, JSON.stringify(record));
    } catch (error) {
      if (isErrorOfKind(error, 'object_exists')) return;
      if (!isErrorOfKind(error, 'store_ambiguous')) throw error;
      // The configuration is not written yet, so this attempt had no effect.
      const message = `the platform did not confirm the write of audit record "${key}"`;
      throw MarigoldpostError.create('store_unavailable', message);
    }
  }

  /** Gets the newer version if an earlier attempt of this change wrote it. */
  private async getOwnChangeOrThrow(
    change: ConfigChange,
    changeId: string,
    current: ConfigRecord | undefined,
  ): Promise<ConfigRecord> {
    const next = await this.readVersion(change.baseVersion + 1, current);
    if (next?.changeId === changeId) return next;
    const base = await this.readVersion(change.baseVersion, current);
    throw createConflictError(change, base, current);
  }

  private async readVersion(
    version: number,
    current: ConfigRecord | undefined,
  ): Promise<ConfigRecord | undefined> {
    if (current?.version === version) return current;
    const object = await this.options.store.getObject(getAuditKey(version));
    return object && parseConfigRecord(object.value);
  }

  private async readCurrent(): Promise<CurrentConfig | undefined> {
    const object = await this.options.store.getObject(configKey);
    return object && {object, record: parseConfigRecord(object.value)};
  }
}

function isRetryable(error: unknown): boolean {
  return isErrorOfKind(
    error,
    'store_unavailable',
    'version_conflict',
    'object_exists',
  );
}

function createAmbiguousError(
  {baseVersion}: ConfigChange,
  cause: MarigoldpostError | undefined,
): MarigoldpostError {
  const message =
    `the platform did not confirm version ${baseVersion + 1}: ` +
    'it may be active or not; read the configuration before retrying';
  return MarigoldpostError.create('store_ambiguous', message, {cause});
}

function createConflictError(
  change: ConfigChange,
  base: ConfigRecord | undefined,
  current: ConfigRecord | undefined,
): MarigoldpostError {
  const baseText = base?.text ?? '';
  const show = (text: string) =>
    formatLineDifferences(getLineDifferences(baseText, text));
  const found =
    current === undefined
      ? 'there is no configuration'
      : `version ${current.version} by ${current.author} is active (${current.why})`;
  const message = [
    `you edited version ${change.baseVersion}, but ${found}`,
    `changed since:\n${show(current?.text ?? '')}`,
    `your change:\n${show(change.text)}`,
  ].join('\n');
  return MarigoldpostError.create('config_conflict', message);
}

function toEntries(records: readonly ConfigRecord[]): AuditEntry[] {
  const entries: AuditEntry[] = [];
  for (const [index, record] of records.entries()) {
    const previous = records[index - 1];
    if (previous === undefined && record.version > 1) continue;
    const {version, author, why, atMs, text} = record;
    const differences = getLineDifferences(previous?.text ?? '', text);
    const hash = getConfigHash(text);
    entries.push({version, author, why, atMs, hash, differences});
  }
  return entries;
}
