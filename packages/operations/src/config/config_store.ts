/** Changes the operators' text and keeps the audit trail of its changes. */
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
  getTextHash,
  operatorsTextKey,
  type OperatorsText,
  type ParseOperatorsText,
  parseOperatorsText,
} from './operators_text.js';

const maxTries = 5;
const retryWaits = {baseMs: 100, maxMs: 2000};
const changeIdLength = 20;
const defaultTrailEntries = 50;

/** What the store of texts needs. */
export interface ConfigStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly parse: ParseOperatorsText;
}

/** A change that an operator asks for. */
export interface ConfigChange {
  readonly text: string;
  /** Version that the operator edited; 0 for the first text. */
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

/** Which part of the trail to read. */
export interface AuditTrailOptions {
  /** Most changes to return, newest first; 50 by default. */
  readonly limit?: number;
}

/** The text in the platform, with its object's version. */
interface CurrentText {
  readonly object: StoredObject;
  readonly record: OperatorsText;
}

/** The operators' side of the configuration. */
export class ConfigStore {
  private constructor(private readonly options: ConfigStoreOptions) {}

  /**
   * Creates a store of texts over the platform's.
   * @param options - What it needs.
   */
  static create(options: ConfigStoreOptions): ConfigStore {
    return new ConfigStore(options);
  }

  /** Gets the accepted text; throws `store_unavailable`. */
  async getConfig(): Promise<OperatorsText | undefined> {
    return (await this.readCurrent())?.record;
  }

  /**
   * Replaces the text. Throws `config_invalid` with all problems,
   * `config_conflict` when another change came first, `store_unavailable` when
   * nothing was changed, `store_ambiguous` when that could not be found out.
   * @param change - New text, the version edited, who and why.
   */
  async applyChange(change: ConfigChange): Promise<OperatorsText> {
    this.options.parse(change.text);
    const changeId = this.options.random.nextToken(changeIdLength);
    const backoff = Backoff.create(retryWaits, this.options.random);
    let doubt: MarigoldpostError | undefined;
    for (let tries = 0; tries < maxTries; tries++) {
      if (tries > 0) await this.options.clock.sleep(backoff.nextDelayMs());
      try {
        return await this.tryChange(change, changeId);
      } catch (error) {
        if (isErrorOfKind(error, 'store_ambiguous')) doubt = error;
        else if (!isRetried(error)) throw error;
        else if (tries === maxTries - 1 && doubt === undefined) throw error;
      }
    }
    throw createDoubtError(change, doubt);
  }

  /**
   * Gets who changed what when and why, newest first.
   * @param options - How many changes.
   */
  async getAuditTrail(options: AuditTrailOptions = {}): Promise<AuditEntry[]> {
    const {limit = defaultTrailEntries} = options;
    const current = await this.getConfig();
    if (current === undefined) return [];
    const oldest = Math.max(0, current.version - limit - 1);
    const objects = await this.options.store.listObjects(auditPrefix, {
      afterKey: getAuditKey(oldest),
      limit: limit + 1,
    });
    const former = objects
      .map(({value}) => parseOperatorsText(value))
      .filter(({version}) => version < current.version);
    return toEntries([...former, current])
      .reverse()
      .slice(0, limit);
  }

  /** Makes one try; a former try's write may have taken effect. */
  private async tryChange(
    change: ConfigChange,
    changeId: string,
  ): Promise<OperatorsText> {
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
    previous: OperatorsText | undefined,
  ): OperatorsText {
    return {
      version: baseVersion + 1,
      text,
      author,
      why,
      atMs: this.options.clock.wallTimeMs(),
      previousHash: previous === undefined ? '' : getTextHash(previous.text),
      changeId,
    };
  }

  private async write(
    record: OperatorsText,
    replaced: StoredObject | undefined,
  ): Promise<void> {
    const {store} = this.options;
    const value = JSON.stringify(record);
    if (replaced === undefined) {
      await store.createObject(operatorsTextKey, value);
      return;
    }
    await store.updateObject(operatorsTextKey, value, replaced.version);
  }

  /** Keeps a text before it is replaced; every try writes the same record. */
  private async addAuditRecord(record: OperatorsText): Promise<void> {
    const key = getAuditKey(record.version);
    try {
      await this.options.store.createObject(key, JSON.stringify(record));
    } catch (error) {
      if (isErrorOfKind(error, 'object_exists')) return;
      if (!isErrorOfKind(error, 'store_ambiguous')) throw error;
      // The text itself has not been written yet: this try had no effect.
      const message = `audit record "${key}" could not be confirmed`;
      throw MarigoldpostError.create('store_unavailable', message);
    }
  }

  /** Finds out whether the newer version is that of a former try. */
  private async getOwnChangeOrThrow(
    change: ConfigChange,
    changeId: string,
    current: OperatorsText | undefined,
  ): Promise<OperatorsText> {
    const next = await this.readVersion(change.baseVersion + 1, current);
    if (next?.changeId === changeId) return next;
    const base = await this.readVersion(change.baseVersion, current);
    throw createConflict(change, base, current);
  }

  private async readVersion(
    version: number,
    current: OperatorsText | undefined,
  ): Promise<OperatorsText | undefined> {
    if (current?.version === version) return current;
    const object = await this.options.store.getObject(getAuditKey(version));
    return object && parseOperatorsText(object.value);
  }

  private async readCurrent(): Promise<CurrentText | undefined> {
    const object = await this.options.store.getObject(operatorsTextKey);
    return object && {object, record: parseOperatorsText(object.value)};
  }
}

function isRetried(error: unknown): boolean {
  return isErrorOfKind(
    error,
    'store_unavailable',
    'version_conflict',
    'object_exists',
  );
}

function createDoubtError(
  {baseVersion}: ConfigChange,
  cause: MarigoldpostError | undefined,
): MarigoldpostError {
  const message =
    `the platform did not confirm version ${baseVersion + 1}: ` +
    'it may be in force or not; look before trying again';
  return MarigoldpostError.create('store_ambiguous', message, {cause});
}

function createConflict(
  change: ConfigChange,
  base: OperatorsText | undefined,
  current: OperatorsText | undefined,
): MarigoldpostError {
  const baseText = base?.text ?? '';
  const show = (text: string) =>
    formatLineDifferences(getLineDifferences(baseText, text));
  const found =
    current === undefined
      ? 'there is no text'
      : `version ${current.version} by ${current.author} is in force (${current.why})`;
  const message = [
    `you edited version ${change.baseVersion}, but ${found}`,
    `changed since:\n${show(current?.text ?? '')}`,
    `your change:\n${show(change.text)}`,
  ].join('\n');
  return MarigoldpostError.create('config_conflict', message);
}

function toEntries(records: readonly OperatorsText[]): AuditEntry[] {
  const entries: AuditEntry[] = [];
  for (const [index, record] of records.entries()) {
    const previous = records[index - 1];
    if (previous === undefined && record.version > 1) continue;
    const {version, author, why, atMs, text} = record;
    const differences = getLineDifferences(previous?.text ?? '', text);
    const hash = getTextHash(text);
    entries.push({version, author, why, atMs, hash, differences});
  }
  return entries;
}
