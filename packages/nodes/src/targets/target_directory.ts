/**
 * Targets that may receive requests, from the registry's objects. The object
 * API can be down for seconds; registrations expire meanwhile, and live targets
 * register again within about 2 s of its recovery. The directory holds missing
 * entries for that time. A missing entry may also be that of a target that has
 * left, so a hold ends before such a target may receive no request any more.
 */
import type {Clock, TargetId, Timer} from '@marigoldpost/common';
import {
  type ObjectChange,
  ObjectDecoder,
  type ObjectListener,
  type StoredObject,
} from '@marigoldpost/platform';
import type {NodeBounds, TargetEntry} from '@marigoldpost/sites';
import type {EventLogger} from '@marigoldpost/telemetry';
import {createIgnoredObjectLog} from '../utils/log_ignored_object.js';

/** Longest time after an outage for which missing entries are held. */
const maxHoldMs = 2300;
/** Shorter outages let no registration expire, so no hold follows. */
const minHoldOutageMs = 1000;
/** Time for a request that was sent in a hold to reach its target. */
const reachMarginMs = 500;

/** Bounds of the operators that end holds. */
export type TargetHoldBounds = Pick<NodeBounds, 'drainMs' | 'contactMs'>;

/** Key prefix, decoder and callback of a directory. */
export interface TargetDirectoryOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly prefix: string;
  readonly bounds: TargetHoldBounds;
  /** Decodes an entry; `undefined` when it describes no usable target. */
  readonly decode: (object: StoredObject) => TargetEntry | undefined;
  /** Called after each change with all targets that may receive requests. */
  readonly onChanged: (targets: readonly TargetEntry[]) => void;
  /** Called when a target is gone, or restarted, without having drained. */
  readonly onLost?: (target: TargetEntry) => void;
}

/** Why a missing entry is still listed, and until when. */
interface Hold {
  readonly untilMs: number;
  /** Whether the entry was removed during the outage, not after it. */
  readonly isFromOutage: boolean;
}

interface ListedTarget {
  readonly entry: TargetEntry;
  /** Set only while the entry is missing. */
  readonly hold?: Hold;
}

/** Lists targets from a watch, and holds missing entries after outages. */
export class TargetDirectory implements ObjectListener {
  private readonly targets = new Map<string, ListedTarget>();
  /** Last registrations of targets whose entries are malformed now. */
  private readonly unknown = new Map<string, TargetEntry>();
  /** End of holds of entries that were removed during the last outage. */
  private outageHoldUntilMs = Number.NEGATIVE_INFINITY;
  /** End of holds of entries that were removed after the last outage. */
  private laterHoldUntilMs = Number.NEGATIVE_INFINITY;
  /** End of holds if most entries lapse, during the last outage or after it. */
  private lapseHoldUntilMs = Number.NEGATIVE_INFINITY;
  /** Whether the next complete set shows what was removed during an outage. */
  private isSetFromOutage = false;
  private holdTimer: Timer | undefined;
  private hasLoaded = false;
  private readonly decoder: ObjectDecoder<TargetEntry>;

  private constructor(private readonly options: TargetDirectoryOptions) {
    const {decode, logger} = options;
    const onIgnored = createIgnoredObjectLog(logger);
    this.decoder = ObjectDecoder.create({decode, onIgnored});
  }

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
    const isFromOutage = this.isSetFromOutage;
    this.isSetFromOutage = false;
    const keys = new Set(objects.map(({key}) => key));
    const missing = [...this.targets.keys()].filter((key) => !keys.has(key));
    // Most targets do not leave at once: the object API itself was away.
    const isLapse = isFromOutage && missing.length * 2 > this.targets.size;
    if (isLapse) {
      this.outageHoldUntilMs = this.options.clock.nowMs() + maxHoldMs;
    }
    for (const key of missing) this.removeKey(key, 0, isFromOutage);
    for (const [key, entry] of this.unknown) {
      if (keys.has(key)) continue;
      this.unknown.delete(key);
      // An entry that lapsed in an outage does not show the loss of its target.
      if (!isFromOutage) this.notifyLost(entry);
    }
    for (const object of objects) this.putObject(object);
    this.notifyChanged();
  }

  applyChange({key, object, version}: ObjectChange): void {
    if (object === undefined) {
      this.removeKey(key, version);
      this.extendLapsedHolds();
    } else this.putObject(object);
    this.notifyChanged();
  }

  onWatchFailed(error: Error): void {
    const {logger, prefix} = this.options;
    logger.log('watch_lost', {prefix, message: error.message});
  }

  onWatchRecovered(outageMs: number, failedAgoMs: number): void {
    const {logger, prefix, clock, bounds} = this.options;
    logger.log('watch_back', {prefix, outageMs: Math.round(outageMs)});
    if (outageMs < minHoldOutageMs) return;
    const nowMs = clock.nowMs();
    // The object API may have been away from this daemon only. Removals of that
    // time oblige it from `contactMs` after the end of its outage, which is
    // known only to be later than the last failed call.
    const contactMs = bounds.contactMs - failedAgoMs - reachMarginMs;
    const drainMs = bounds.drainMs - reachMarginMs;
    this.lapseHoldUntilMs = nowMs + maxHoldMs;
    this.outageHoldUntilMs = nowMs + Math.min(maxHoldMs, contactMs);
    this.laterHoldUntilMs = nowMs + Math.min(maxHoldMs, contactMs, drainMs);
    this.isSetFromOutage = true;
    this.extendHolds();
  }

  /** Cancels the timer of holds. */
  stop(): void {
    this.holdTimer?.cancel();
  }

  private putObject(object: StoredObject): void {
    const entry = this.decoder.decode(object);
    const existing = this.targets.get(object.key);
    if (entry === undefined) {
      // The entry is not missing, so it is not held: its target is unknown, but
      // not lost.
      if (existing !== undefined) {
        this.unknown.set(object.key, existing.entry);
        this.targets.delete(object.key);
        this.logUnlisted(existing.entry, object.version);
      }
      return;
    }
    const last = existing?.entry ?? this.unknown.get(object.key);
    this.unknown.delete(object.key);
    this.targets.set(object.key, {entry});
    if (existing !== undefined && isSameEntry(existing.entry, entry)) return;
    if (last?.startedAtMs !== entry.startedAtMs) this.notifyLost(last);
    this.options.logger.log('target_listed', {
      target: entry.id,
      service: entry.service,
      address: `${entry.address.host}:${entry.address.port}`,
      isDraining: entry.isDraining,
      version: object.version,
    });
  }

  private removeKey(key: string, version: number, isFromOutage = false): void {
    this.notifyLost(this.unknown.get(key));
    this.unknown.delete(key);
    const existing = this.targets.get(key);
    if (existing === undefined || existing.hold !== undefined) return;
    const {entry} = existing;
    const untilMs = isFromOutage
      ? this.outageHoldUntilMs
      : this.laterHoldUntilMs;
    const isHeld = !entry.isDraining && this.options.clock.nowMs() < untilMs;
    if (isHeld) {
      this.targets.set(key, {entry, hold: {untilMs, isFromOutage}});
      this.setHoldTimer();
    } else this.deleteTarget(key, entry);
    const target = entry.id;
    this.options.logger.log('target_unlisted', {target, isHeld, version});
  }

  /** Targets whose entries lapsed could not register in another outage. */
  private extendHolds(): void {
    const untilMs = this.outageHoldUntilMs;
    for (const [key, {entry, hold}] of this.targets) {
      if (hold?.isFromOutage !== true || hold.untilMs >= untilMs) continue;
      this.targets.set(key, {entry, hold: {...hold, untilMs}});
    }
    this.setHoldTimer();
  }

  /** Most targets do not leave at once: their entries lapse after an outage. */
  private extendLapsedHolds(): void {
    const untilMs = this.lapseHoldUntilMs;
    const held = [...this.targets].filter(([, {hold}]) => hold !== undefined);
    if (held.length * 2 <= this.targets.size) return;
    for (const [key, {entry, hold}] of held) {
      if (hold === undefined || hold.untilMs >= untilMs) continue;
      this.targets.set(key, {entry, hold: {...hold, untilMs}});
    }
    this.setHoldTimer();
  }

  private setHoldTimer(): void {
    this.holdTimer?.cancel();
    const ends = [...this.targets.values()].flatMap(({hold}) =>
      hold === undefined ? [] : [hold.untilMs],
    );
    if (ends.length === 0) return;
    const {clock} = this.options;
    const waitMs = Math.max(0, Math.min(...ends) - clock.nowMs());
    this.holdTimer = clock.setTimer(waitMs, () => this.endHolds());
  }

  private endHolds(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [key, {entry, hold}] of this.targets) {
      if (hold === undefined || hold.untilMs > nowMs) continue;
      this.unlist(key, entry, 0);
    }
    this.setHoldTimer();
    this.notifyChanged();
  }

  private unlist(key: string, entry: TargetEntry, version: number): void {
    this.deleteTarget(key, entry);
    this.logUnlisted(entry, version);
  }

  private logUnlisted({id}: TargetEntry, version: number): void {
    const fields = {target: id, isHeld: false, version};
    this.options.logger.log('target_unlisted', fields);
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
