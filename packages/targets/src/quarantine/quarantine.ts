/** Detection of requests that kill the targets that run them. */
import type {Clock, Fingerprint, TargetId} from '@marigoldpost/common';

/** Death of a target while it ran a request. */
export interface DeathRecord {
  readonly target: TargetId;
  /** Wall time at the daemon that detected it, in milliseconds since 1970. */
  readonly atMs: number;
}

/** Quarantine state of one request; daemons exchange and merge entries. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Incremented when a suspicion is cleared or lifted; the higher one wins. */
  readonly version: number;
  /** Deaths recorded under this version. */
  readonly deaths: readonly DeathRecord[];
}

/** Clock and bounds of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Number of deaths after which a request is quarantined. */
  readonly deathsToQuarantine: number;
  /** Maximum number of entries; the oldest suspects are evicted first. */
  readonly maxEntries?: number;
}

/** An entry, and the time on this daemon's clock at which it last changed. */
interface TimestampedEntry {
  readonly entry: QuarantineEntry;
  readonly changedAtMs: number;
}

const defaultMaxEntries = 10_000;
/** Time that a change without a quarantine is announced to other daemons. */
const announcementMs = 60_000;
/**
 * Time that a suspicion is kept. It must exceed the announcement time, or an
 * announcement could restore an expired suspicion.
 */
const suspicionRetentionMs = 600_000;
/** Daemons that detect the same death record it within this time. */
const duplicateDeathWindowMs = 10_000;

/**
 * Suspect and quarantined requests known to one daemon. A request becomes
 * suspect when a target dies while running it, and is quarantined after the
 * configured number of deaths.
 */
export class Quarantine {
  private readonly clock: Clock;
  private readonly maxEntries: number;
  private deathsToQuarantine: number;
  private readonly entries = new Map<Fingerprint, TimestampedEntry>();

  private constructor(options: QuarantineOptions) {
    this.clock = options.clock;
    this.deathsToQuarantine = options.deathsToQuarantine;
    this.maxEntries = options.maxEntries ?? defaultMaxEntries;
  }

  /**
   * Creates a quarantine without entries.
   * @param options - Clock and bounds.
   */
  static create(options: QuarantineOptions): Quarantine {
    return new Quarantine(options);
  }

  /** Whether there are no entries, cleared ones included. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /**
   * Sets the number of deaths after which a request is quarantined. It applies
   * to existing entries too.
   * @param deaths - Number of deaths; at least 1.
   */
  setDeathsToQuarantine(deaths: number): void {
    this.deathsToQuarantine = deaths;
  }

  /**
   * Records the death of a target, once for each request that it ran.
   * @param target - Target that died.
   * @param fingerprints - Requests that were running on it.
   */
  recordDeath(target: TargetId, fingerprints: readonly Fingerprint[]): void {
    const death = {target, atMs: this.clock.wallTimeMs()};
    for (const fingerprint of new Set(fingerprints)) {
      const {version, deaths} = this.getEntryOrEmpty(fingerprint);
      this.putEntry({fingerprint, version, deaths: [...deaths, death]});
    }
  }

  /**
   * Records that a request completed; clears its suspicion, not a quarantine.
   * @param fingerprint - Request that completed.
   */
  recordSurvival(fingerprint: Fingerprint): void {
    if (this.isSuspect(fingerprint)) this.clearDeaths(fingerprint);
  }

  /**
   * Lifts a quarantine or suspicion at an operator's request.
   * @param fingerprint - Request to lift; an unknown one is ignored.
   */
  lift(fingerprint: Fingerprint): void {
    if (this.entries.has(fingerprint)) this.clearDeaths(fingerprint);
  }

  /**
   * Checks whether a request is quarantined and must not run.
   * @param fingerprint - Request to check.
   */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return this.countDeaths(fingerprint) >= this.deathsToQuarantine;
  }

  /**
   * Checks whether a request is suspect and must run alone on its target.
   * @param fingerprint - Request to check.
   */
  isSuspect(fingerprint: Fingerprint): boolean {
    const deaths = this.countDeaths(fingerprint);
    return deaths > 0 && deaths < this.deathsToQuarantine;
  }

  /** Gets the suspect requests, which must run alone. */
  getSuspects(): readonly Fingerprint[] {
    return [...this.entries.keys()].filter((key) => this.isSuspect(key));
  }

  /** Gets the quarantined requests, which must not run. */
  getQuarantined(): readonly Fingerprint[] {
    return [...this.entries.keys()].filter((key) => this.isQuarantined(key));
  }

  /**
   * Gets the entry of a request, or `undefined` if there is none.
   * @param fingerprint - Request to look up.
   */
  getEntry(fingerprint: Fingerprint): QuarantineEntry | undefined {
    return this.entries.get(fingerprint)?.entry;
  }

  /**
   * Gets the distinct targets that died while they ran a request.
   * @param fingerprint - Request to look up.
   */
  getDeadTargets(fingerprint: Fingerprint): readonly TargetId[] {
    const deaths = this.getEntry(fingerprint)?.deaths ?? [];
    return [...new Set(deaths.map(({target}) => target))];
  }

  /**
   * Gets the wall time of the last death of a target that ran a request, in
   * milliseconds since 1970; 0 if there was none.
   * @param fingerprint - Request to look up.
   */
  getLastDeathMs(fingerprint: Fingerprint): number {
    const deaths = this.getEntry(fingerprint)?.deaths ?? [];
    return Math.max(0, ...deaths.map(({atMs}) => atMs));
  }

  /** Gets the entries to announce: quarantined or recently changed ones. */
  getEntries(): readonly QuarantineEntry[] {
    const oldestMs = this.clock.nowMs() - announcementMs;
    return [...this.entries.values()]
      .filter(
        ({entry, changedAtMs}) =>
          changedAtMs >= oldestMs || this.isQuarantined(entry.fingerprint),
      )
      .map(({entry}) => entry);
  }

  /**
   * Merges another daemon's entries; commutative and idempotent. Returns the
   * merged entries that have changed.
   * @param entries - Entries that the other daemon announced.
   */
  mergeEntries(entries: readonly QuarantineEntry[]): QuarantineEntry[] {
    return entries.flatMap((entry) => {
      const own = this.getEntry(entry.fingerprint);
      if (own === undefined || entry.version > own.version) {
        this.putEntry(entry);
      } else if (entry.version === own.version) {
        this.mergeEntryDeaths(own, entry.deaths);
      }
      const merged = this.getEntry(entry.fingerprint);
      return merged === undefined || merged === own ? [] : [merged];
    });
  }

  /** Merges deaths; an entry that already has them all counts as unchanged. */
  private mergeEntryDeaths(
    own: QuarantineEntry,
    others: readonly DeathRecord[],
  ): void {
    const deaths = mergeDeaths(own.deaths, others);
    if (deaths.length > own.deaths.length) this.putEntry({...own, deaths});
  }

  private countDeaths(fingerprint: Fingerprint): number {
    const entry = this.getEntry(fingerprint);
    return entry === undefined ? 0 : countDistinctDeaths(entry.deaths);
  }

  private getEntryOrEmpty(fingerprint: Fingerprint): QuarantineEntry {
    const entry = this.getEntry(fingerprint);
    return entry ?? {fingerprint, version: 0, deaths: []};
  }

  /**
   * Removes the deaths but keeps the entry with a higher version, so that other
   * daemons clear theirs as well.
   */
  private clearDeaths(fingerprint: Fingerprint): void {
    const {version} = this.getEntryOrEmpty(fingerprint);
    this.putEntry({fingerprint, version: version + 1, deaths: []});
  }

  private putEntry(entry: QuarantineEntry): void {
    // Reinserts the entry, so that the map is ordered by time of change.
    this.entries.delete(entry.fingerprint);
    const changedAtMs = this.clock.nowMs();
    this.entries.set(entry.fingerprint, {entry, changedAtMs});
    this.removeExpiredSuspicions();
    if (this.entries.size > this.maxEntries) this.evictOldest();
  }

  private removeExpiredSuspicions(): void {
    const oldestMs = this.clock.nowMs() - suspicionRetentionMs;
    for (const [fingerprint, {changedAtMs}] of this.entries) {
      if (changedAtMs >= oldestMs) return;
      if (!this.isQuarantined(fingerprint)) this.entries.delete(fingerprint);
    }
  }

  private evictOldest(): void {
    const keys = [...this.entries.keys()];
    const oldest = keys.find((key) => !this.isQuarantined(key)) ?? keys[0];
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}

/** Merges two sets of deaths; commutative and idempotent. */
function mergeDeaths(
  left: readonly DeathRecord[],
  right: readonly DeathRecord[],
): DeathRecord[] {
  const deaths = new Map<string, DeathRecord>();
  for (const death of [...left, ...right]) {
    deaths.set(`${death.target} ${death.atMs}`, death);
  }
  return [...deaths.values()].sort(compareDeaths);
}

/** Counts deaths; records of one target close in time count as one. */
function countDistinctDeaths(deaths: readonly DeathRecord[]): number {
  const lastMs = new Map<TargetId, number>();
  let count = 0;
  for (const {target, atMs} of [...deaths].sort(compareDeaths)) {
    const previousMs = lastMs.get(target);
    lastMs.set(target, atMs);
    const isSameDeath =
      previousMs !== undefined && atMs - previousMs <= duplicateDeathWindowMs;
    if (!isSameDeath) count += 1;
  }
  return count;
}

function compareDeaths(left: DeathRecord, right: DeathRecord): number {
  if (left.target !== right.target) return left.target < right.target ? -1 : 1;
  return left.atMs - right.atMs;
}
