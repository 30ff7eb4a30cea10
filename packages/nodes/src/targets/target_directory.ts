/**
 * Targets that may receive requests, from the registry's objects. The object
 * API can be down for seconds; registrations expire meanwhile, and live targets
 * register again within about 2 s of its recovery. The directory keeps missing
 * entries for that time.
 */
import type {Clock, TargetId, Timer} from '@marigoldpost/common';
import type {
  ObjectChange,
  ObjectListener,
  StoredObject,
} from '@marigoldpost/platform';
import type {TargetEntry} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Time after an outage for which missing entries are kept. */
const missingEntryGraceMs = 2300;
/** Shorter outages let no registration expire, so no grace period follows. */
const minGraceOutageMs = 1000;

/** Key prefix, decoder and callback of a directory. */
export interface TargetDirectoryOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly prefix: string;
  /** Decodes an entry; `undefined` when it describes no usable target. */
  readonly decode: (object: StoredObject) => TargetEntry | undefined;
  /** Called after each change with all targets that may receive requests. */
  readonly onChanged: (targets: readonly TargetEntry[]) => void;
  /** Called when a target is gone, or restarted, without having drained. */
  readonly onLost?: (target: TargetEntry) => void;
}

interface ListedTarget {
  readonly entry: TargetEntry;
  /** Whether its entry is missing and kept only for the grace period. */
  readonly isMissing: boolean;
}

/** Lists targets from a watch, with a grace period after outages. */
export class TargetDirectory implements ObjectListener {
  private readonly targets = new Map<string, ListedTarget>();
  private graceUntilMs = Number.NEGATIVE_INFINITY;
  private graceTimer: Timer | undefined;
  private hasLoaded = false;

  private constructor(private readonly options: TargetDirectoryOptions) {}

  /**
   * Creates an empty directory.
   * @param options - Key prefix, decoder and change callback.
   */
  static create(options: TargetDirectoryOptions): TargetDirectory {
    return new TargetDirectory(options);
  }

  /** Whether the registry has been read at least once. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /**
   * Finds a target that may receive requests; `undefined` if none is listed.
   * @param id - Id of the target.
   */
  find(id: TargetId): TargetEntry | undefined {
    const entry = this.targets.get(`${this.options.prefix}${id}`)?.entry;
    return entry?.isDraining === true ? undefined : entry;
  }

  replaceObjects(objects: readonly StoredObject[]): void {
    this.hasLoaded = true;
    const keys = new Set(objects.map(({key}) => key));
    for (const key of [...this.targets.keys()]) {
      if (!keys.has(key)) this.removeKey(key, 0);
    }
    for (const object of objects) this.putObject(object);
    this.notifyChanged();
  }

  applyChange({key, object, version}: ObjectChange): void {
    if (object === undefined) this.removeKey(key, version);
    else this.putObject(object);
    this.notifyChanged();
  }

  onWatchFailed(error: Error): void {
    const {logger, prefix} = this.options;
    logger.log('watch_lost', {prefix, message: error.message});
  }

  onWatchRecovered(outageMs: number): void {
    const {logger, prefix, clock} = this.options;
    logger.log('watch_back', {prefix, outageMs: Math.round(outageMs)});
    if (outageMs < minGraceOutageMs) return;
    this.graceUntilMs = clock.nowMs() + missingEntryGraceMs;
    this.graceTimer?.cancel();
    this.graceTimer = clock.setTimer(missingEntryGraceMs, () =>
      this.endGrace(),
    );
  }

  /** Cancels the timer of the grace period. */
  stop(): void {
    this.graceTimer?.cancel();
  }

  private putObject(object: StoredObject): void {
    const entry = this.options.decode(object);
    if (entry === undefined) {
      this.removeKey(object.key, object.version);
      return;
    }
    const existing = this.targets.get(object.key);
    this.targets.set(object.key, {entry, isMissing: false});
    if (existing !== undefined && isSameEntry(existing.entry, entry)) return;
    if (existing?.entry.startedAtMs !== entry.startedAtMs) {
      this.notifyLost(existing?.entry);
    }
    this.options.logger.log('target_listed', {
      target: entry.id,
      service: entry.service,
      address: `${entry.address.host}:${entry.address.port}`,
      isDraining: entry.isDraining,
      version: object.version,
    });
  }

  private removeKey(key: string, version: number): void {
    const existing = this.targets.get(key);
    if (existing === undefined || existing.isMissing) return;
    const isHeld =
      !existing.entry.isDraining &&
      this.options.clock.nowMs() < this.graceUntilMs;
    if (isHeld) this.targets.set(key, {entry: existing.entry, isMissing: true});
    else this.deleteTarget(key, existing.entry);
    const target = existing.entry.id;
    this.options.logger.log('target_unlisted', {target, isHeld, version});
  }

  private endGrace(): void {
    for (const [key, {entry, isMissing}] of this.targets) {
      if (!isMissing) continue;
      this.deleteTarget(key, entry);
      const fields = {target: entry.id, isHeld: false, version: 0};
      this.options.logger.log('target_unlisted', fields);
    }
    this.notifyChanged();
  }

  private deleteTarget(key: string, entry: TargetEntry): void {
    this.targets.delete(key);
    this.notifyLost(entry);
  }

  private notifyLost(entry: TargetEntry | undefined): void {
    if (entry === undefined || entry.isDraining) return;
    this.options.onLost?.(entry);
  }

  private notifyChanged(): void {
    const entries = [...this.targets.values()].map(({entry}) => entry);
    this.options.onChanged(entries.filter(({isDraining}) => !isDraining));
  }
}

function isSameEntry(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.address.host === right.address.host &&
    left.address.port === right.address.port &&
    left.startedAtMs === right.startedAtMs &&
    left.isDraining === right.isDraining
  );
}
