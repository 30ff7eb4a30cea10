/**
 * Grants trial runs of quarantined requests through the object API: each request
 * has one object, whose conditional writes let no two entry VMs take the same
 * trial, and which outlives a restart of all of them.
 */
import {
  type Clock,
  type DaemonId,
  type Fingerprint,
  isErrorOfKind,
  parseJson,
  type Random,
  toId,
} from '@marigoldpost/common';
import {type TrialReply, TrialSource} from '@marigoldpost/gateway';
import {type ObjectStore, WriteResolver} from '@marigoldpost/platform';
import {
  decideTrial,
  type TrialRecord,
  type TrialRequest,
  withoutTrial,
} from '@marigoldpost/targets';
import * as z from 'zod';

/** Key prefix of the objects, one per quarantined request. */
export const trialPrefix = 'trials/';

const nonceLength = 10;
/** Pause after a request for a trial that the object API did not answer. */
const unavailableRetryAfterMs = 1000;
/** Pause after a request for a trial that another entry VM has just taken. */
const conflictRetryAfterMs = 300;
const maxGiveBackAttempts = 3;

const recordSchema = z.object({
  fingerprint: z.string(),
  version: z.int().nonnegative(),
  trials: z.array(z.object({holder: z.string(), grantedAtMs: z.number()})),
});

/** Object API and identity of a source. */
export interface ObjectTrialSourceOptions {
  readonly store: ObjectStore;
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly random: Random;
  readonly onFailed: (error: unknown) => void;
}

/** A record with the version of its object. */
interface StoredRecord {
  readonly record: TrialRecord | undefined;
  readonly objectVersion: number | undefined;
}

/** Takes trials in the objects of requests. */
export class ObjectTrialSource extends TrialSource {
  private readonly resolver: WriteResolver;
  /**
   * Holders of trials that no target has run, but which their objects may
   * contain; the next request for a trial uses them.
   */
  private readonly unused = new Set<string>();

  private constructor(private readonly options: ObjectTrialSourceOptions) {
    super();
    this.resolver = WriteResolver.create(options.store);
  }

  /**
   * Creates a source; it calls the object API only for quarantined requests.
   * @param options - Object API and identity.
   */
  static create(options: ObjectTrialSourceOptions): ObjectTrialSource {
    return new ObjectTrialSource(options);
  }

  override async take(
    fingerprint: Fingerprint,
    version: number,
  ): Promise<TrialReply> {
    const {clock, daemon, random} = this.options;
    const holder = `${daemon} ${random.nextToken(nonceLength)}`;
    const nowMs = clock.wallTimeMs();
    try {
      return await this.tryToTake({fingerprint, version, holder, nowMs});
    } catch (error) {
      if (isErrorOfKind(error, 'store_ambiguous')) this.unused.add(holder);
      this.options.onFailed(error);
      return {kind: 'refused', retryAfterMs: unavailableRetryAfterMs};
    }
  }

  override async giveBack(
    fingerprint: Fingerprint,
    holder: string,
  ): Promise<void> {
    this.unused.add(holder);
    try {
      for (let attempt = 0; attempt < maxGiveBackAttempts; attempt++) {
        if (await this.tryToGiveBack(fingerprint, holder)) {
          this.unused.delete(holder);
          return;
        }
      }
    } catch (error) {
      this.options.onFailed(error);
    }
  }

  override async forget(fingerprint: Fingerprint): Promise<void> {
    try {
      await this.options.store.removeObject(getKey(fingerprint));
    } catch (error) {
      // A record of an earlier version of the quarantine has no effect.
      this.options.onFailed(error);
    }
  }

  private async tryToTake(request: TrialRequest): Promise<TrialReply> {
    const {fingerprint, version, holder} = request;
    const {record, objectVersion} = await this.read(fingerprint);
    const unused = record?.trials.find((trial) =>
      this.unused.has(trial.holder),
    );
    if (unused !== undefined && record?.version === version) {
      this.unused.delete(unused.holder);
      return {kind: 'granted', holder: unused.holder};
    }
    const decision = decideTrial(record, request);
    if (decision.kind !== 'granted') return decision;
    const key = getKey(fingerprint);
    const value = JSON.stringify(decision.record);
    const {isApplied} =
      objectVersion === undefined
        ? await this.resolver.createObject(key, value)
        : await this.resolver.updateObject(key, value, objectVersion);
    return isApplied
      ? {kind: 'granted', holder}
      : {kind: 'refused', retryAfterMs: conflictRetryAfterMs};
  }

  /** Returns false if another entry VM has changed the record meanwhile. */
  private async tryToGiveBack(
    fingerprint: Fingerprint,
    holder: string,
  ): Promise<boolean> {
    const {record, objectVersion} = await this.read(fingerprint);
    if (record === undefined || objectVersion === undefined) return true;
    // A later request of this entry VM may use the trial meanwhile.
    if (!this.unused.has(holder)) return true;
    const left = withoutTrial(record, holder);
    if (left === undefined) return true;
    const key = getKey(fingerprint);
    const value = JSON.stringify(left);
    try {
      await this.options.store.updateObject(key, value, objectVersion);
      return true;
    } catch (error) {
      if (isErrorOfKind(error, 'version_conflict', 'object_missing')) {
        return false;
      }
      throw error;
    }
  }

  private async read(fingerprint: Fingerprint): Promise<StoredRecord> {
    const object = await this.options.store.getObject(getKey(fingerprint));
    if (object === undefined) {
      return {record: undefined, objectVersion: undefined};
    }
    const parsed = recordSchema.safeParse(parseJson(object.value));
    const record = parsed.success
      ? {
          ...parsed.data,
          fingerprint: toId<Fingerprint>(parsed.data.fingerprint),
        }
      : undefined;
    return {record, objectVersion: object.version};
  }
}

function getKey(fingerprint: Fingerprint): string {
  return `${trialPrefix}${fingerprint}`;
}
