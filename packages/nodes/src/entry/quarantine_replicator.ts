/**
 * Replicates quarantine entries (requests that crashed targets) among entry VMs
 * through the object API. Writes no object while no target crashes.
 */
import {
  type Clock,
  type DaemonId,
  type Fingerprint,
  parseJson,
  type TargetId,
  type Timer,
  toId,
} from '@marigoldpost/common';
import {
  type ObjectChange,
  type ObjectStore,
  putOwnObject,
  type StoredObject,
} from '@marigoldpost/platform';
import type {Quarantine, QuarantineEntry} from '@marigoldpost/targets';
import type {EventLogger} from '@marigoldpost/telemetry';
import * as z from 'zod';
import {isCurrentEntry} from '../quarantine_settings.js';
import type {ObjectSink} from '../utils/object_sink.js';
import type {QuarantineReceiver} from './quarantine_receiver.js';

/** Key prefix of the objects, one per entry VM. */
export const crashPrefix = 'crashes/';

/** One crash fails many requests at a time; they are written as one batch. */
const batchDelayMs = 300;
/** Pause before a failed write is retried. */
const retryDelayMs = 500;
/** Limit of the entries in one object, far below the size limit of objects. */
const maxWrittenEntries = 2000;

const entrySchema = z.object({
  fingerprint: z.string(),
  // Entries are sent on in these number types.
  version: z.int().nonnegative(),
  quarantinedDeaths: z.uint32().default(0),
  deaths: z.array(
    z.object({
      target: z.string(),
      startedAtMs: z.number().default(0),
      // Daemons of earlier versions do not number deaths.
      ordinal: z.uint32().default(1),
      atMs: z.number(),
      isCleared: z.boolean().default(false),
    }),
  ),
});

/** Store and quarantine that a replicator connects. */
export interface QuarantineReplicatorOptions {
  readonly daemon: DaemonId;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly receiver: QuarantineReceiver;
  readonly logger: EventLogger;
  readonly onFailed: (error: unknown) => void;
}

/** Writes the entries of this entry VM and merges those of the others. */
export class QuarantineReplicator implements ObjectSink {
  private timer: Timer | undefined;
  /** Whether the object of an earlier process of this daemon is merged. */
  private hasReadOwnObject = false;
  private hasLoaded = false;
  /** When the oldest change was made that has not been written. */
  private changedAtMs: number | undefined;
  private isStopped = false;

  private constructor(private readonly options: QuarantineReplicatorOptions) {}

  /**
   * Creates a replicator; it writes after the first `publish`.
   * @param options - Own daemon, object API and quarantine.
   */
  static create(options: QuarantineReplicatorOptions): QuarantineReplicator {
    return new QuarantineReplicator(options);
  }

  /** Whether the records of all entry VMs have been read. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Schedules a write of all entries of this entry VM. */
  publish(): void {
    this.changedAtMs ??= this.options.clock.nowMs();
    this.schedule(batchDelayMs);
  }

  /** Writes changes that are still waiting for their batch. */
  async flush(): Promise<void> {
    if (this.timer === undefined) return;
    this.timer.cancel();
    this.timer = undefined;
    await this.writeEntries();
  }

  /** Cancels the scheduled write and ignores later ones. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    for (const object of objects) this.mergeObject(object);
    this.hasReadOwnObject = true;
    this.hasLoaded = true;
  }

  applyChange({object}: ObjectChange): void {
    if (object !== undefined) this.mergeObject(object);
  }

  private mergeObject({key, value}: StoredObject): void {
    const nowMs = this.options.clock.wallTimeMs();
    const entries = parseEntries(value).filter((entry) =>
      isCurrentEntry(entry, nowMs),
    );
    this.options.receiver.receive(key, entries);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped || this.timer !== undefined) return;
    this.timer = this.options.clock.setTimer(delayMs, () => {
      this.timer = undefined;
      void this.writeEntries();
    });
  }

  private async readOwnObject(key: string): Promise<void> {
    if (this.hasReadOwnObject) return;
    const object = await this.options.store.getObject(key);
    if (object !== undefined) this.mergeObject(object);
    this.hasReadOwnObject = true;
  }

  private async writeEntries(): Promise<void> {
    const {clock, daemon, store, quarantine, onFailed} = this.options;
    const key = `${crashPrefix}${daemon}`;
    const changedAtMs = this.changedAtMs ?? clock.nowMs();
    this.changedAtMs = undefined;
    try {
      await this.readOwnObject(key);
      const entries = quarantine.getEntries().slice(-maxWrittenEntries);
      await putOwnObject(store, key, JSON.stringify(entries));
      this.options.logger.log('crash_records_sent', {
        destination: key,
        requests: entries.length,
        delayMs: Math.round(clock.nowMs() - changedAtMs),
      });
    } catch (error) {
      this.changedAtMs = changedAtMs;
      onFailed(error);
      this.schedule(retryDelayMs);
    }
  }
}

/** Parses the entries of an object; passes over those of other formats. */
function parseEntries(value: string): QuarantineEntry[] {
  const parsed = z.array(z.unknown()).safeParse(parseJson(value));
  if (!parsed.success) return [];
  return parsed.data.flatMap((item) => {
    const entry = entrySchema.safeParse(item);
    return entry.success ? [toQuarantineEntry(entry.data)] : [];
  });
}

function toQuarantineEntry({
  fingerprint,
  deaths,
  ...entry
}: z.infer<typeof entrySchema>): QuarantineEntry {
  return {
    ...entry,
    fingerprint: toId<Fingerprint>(fingerprint),
    deaths: deaths.map(({target, ...death}) => ({
      ...death,
      target: toId<TargetId>(target),
    })),
  };
}
