/**
 * Tells the other entry VMs which requests broke targets here, and hears the
 * same from them. Nothing is written while no target breaks.
 */
import {
  type Clock,
  type DaemonId,
  type Fingerprint,
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
import * as z from 'zod';
import type {ObjectSink} from '../utils/object_sink.js';

/** Kind of the objects, one for each entry VM. */
export const crashPrefix = 'crashes/';

/** One crash breaks many requests at a time; they are told as one. */
const batchMs = 300;
/** Pause before a failed write is repeated. */
const retryMs = 500;
/** News of former runs of a daemon are of no use any more. */
const maxAgeMs = 600_000;

const entriesSchema = z.array(
  z.object({
    fingerprint: z.string(),
    version: z.number(),
    deaths: z.array(z.object({target: z.string(), atMs: z.number()})),
  }),
);

/** Options of the news. */
export interface CrashNewsOptions {
  readonly daemon: DaemonId;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly quarantine: Quarantine;
  readonly onFailed: (error: unknown) => void;
}

/** News of one entry VM. */
export class CrashNews implements ObjectSink {
  private timer: Timer | undefined;
  private isStopped = false;

  private constructor(private readonly options: CrashNewsOptions) {}

  /**
   * Creates news that have nothing to tell.
   * @param options - What is told, and where.
   */
  static create(options: CrashNewsOptions): CrashNews {
    return new CrashNews(options);
  }

  /** Tells the others soon what is known here. */
  publish(): void {
    this.schedule(batchMs);
  }

  /** Tells nothing more. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    for (const object of objects) this.mergeObject(object);
  }

  applyChange({object}: ObjectChange): void {
    if (object !== undefined) this.mergeObject(object);
  }

  private mergeObject({key, value}: StoredObject): void {
    const {clock, daemon, quarantine} = this.options;
    if (key === `${crashPrefix}${daemon}`) return;
    const oldestMs = clock.wallTimeMs() - maxAgeMs;
    const entries = parseEntries(value).filter(({deaths}) =>
      deaths.every(({atMs}) => atMs >= oldestMs),
    );
    quarantine.mergeEntries(entries);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped || this.timer !== undefined) return;
    this.timer = this.options.clock.setTimer(delayMs, () => {
      this.timer = undefined;
      void this.write();
    });
  }

  private async write(): Promise<void> {
    const {daemon, store, quarantine, onFailed} = this.options;
    const key = `${crashPrefix}${daemon}`;
    try {
      const value = JSON.stringify(quarantine.getEntries());
      await putOwnObject(store, key, value);
    } catch (error) {
      onFailed(error);
      this.schedule(retryMs);
    }
  }
}

function parseEntries(value: string): QuarantineEntry[] {
  const parsed = entriesSchema.safeParse(JSON.parse(value));
  if (!parsed.success) return [];
  return parsed.data.map(({fingerprint, version, deaths}) => ({
    fingerprint: toId<Fingerprint>(fingerprint),
    version,
    deaths: deaths.map(({target, atMs}) => ({
      target: toId<TargetId>(target),
      atMs,
    })),
  }));
}
