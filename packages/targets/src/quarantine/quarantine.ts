/** Requests that killed the targets that ran them. */
import type {Clock, Fingerprint, TargetId} from '@marigoldpost/common';

/** A target's death in which a request took part. */
export interface DeathRecord {
  readonly target: TargetId;
  /** Wall time at the daemon that saw it, in milliseconds since 1970. */
  readonly atMs: number;
}

/** What the fleet knows of one request; daemons exchange and merge these. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Grows by one when the suspicion is cleared or lifted; the greater wins. */
  readonly version: number;
  /** Deaths since the version began. */
  readonly deaths: readonly DeathRecord[];
}

/** Options of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Deaths after which a request is quarantined. */
  readonly deathsToQuarantine: number;
  /** Most entries; the oldest suspects go first. */
  readonly maxEntries?: number;
}

/** An entry and when it last changed here, on the daemon's own clock. */
interface KnownEntry {
  readonly entry: QuarantineEntry;
  readonly changedAtMs: number;
}

const defaultMaxEntries = 10_000;
/** How long a change that quarantines nothing is told to the others. */
const newsMs = 60_000;
/** How long a suspicion is kept; news that outlast it would bring it back. */
const suspicionMs = 600_000;
/** Daemons that see one death note it within this time. */
const sameDeathMs = 10_000;

/** Suspects and quarantined requests, as one daemon knows them. */
export class Quarantine {
  private readonly clock: Clock;
  private readonly maxEntries: number;
  private deathsToQuarantine: number;
  private readonly entries = new Map<Fingerprint, KnownEntry>();

  private constructor(options: QuarantineOptions) {
    this.clock = options.clock;
    this.deathsToQuarantine = options.deathsToQuarantine;
    this.maxEntries = options.maxEntries ?? defaultMaxEntries;
  }

  /**
   * Creates an empty quarantine.
   * @param options - Clock and bounds.
   */
  static create(options: QuarantineOptions): Quarantine {
    return new Quarantine(options);
  }

  /** Whether no request is known. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /**
   * Sets after how many deaths a request is quarantined.
   * @param deaths - At least 1.
   */
  setDeathsToQuarantine(deaths: number): void {
    this.deathsToQuarantine = deaths;
  }

  /**
   * Notes one death of a target; it counts once for each request it held.
   * @param target - The target.
   * @param fingerprints - Requests that ran on it.
   */
  noteDeath(target: TargetId, fingerprints: readonly Fingerprint[]): void {
    const death = {target, atMs: this.clock.wallTimeMs()};
    for (const fingerprint of new Set(fingerprints)) {
      const {version, deaths} = this.getEntryOrNew(fingerprint);
      this.addEntry({fingerprint, version, deaths: [...deaths, death]});
    }
  }

  /**
   * Notes that a request ran to its end; clears a suspect.
   * @param fingerprint - The request.
   */
  noteSurvived(fingerprint: Fingerprint): void {
    if (this.isSuspect(fingerprint)) this.clear(fingerprint);
  }

  /**
   * Lifts a quarantine or suspicion by an operator's will.
   * @param fingerprint - The request; an unknown one is left alone.
   */
  lift(fingerprint: Fingerprint): void {
    if (this.entries.has(fingerprint)) this.clear(fingerprint);
  }

  /**
   * Whether a request must not run.
   * @param fingerprint - The request.
   */
  isQuarantined(fingerprint: Fingerprint): boolean {
    return this.countDeaths(fingerprint) >= this.deathsToQuarantine;
  }

  /**
   * Whether a request must run alone on its target.
   * @param fingerprint - The request.
   */
  isSuspect(fingerprint: Fingerprint): boolean {
    const deaths = this.countDeaths(fingerprint);
    return deaths > 0 && deaths < this.deathsToQuarantine;
  }

  /** Gets the requests that must run alone. */
  getSuspects(): readonly Fingerprint[] {
    return [...this.entries.keys()].filter((key) => this.isSuspect(key));
  }

  /** Gets the requests that must not run. */
  getQuarantined(): readonly Fingerprint[] {
    return [...this.entries.keys()].filter((key) => this.isQuarantined(key));
  }

  /**
   * Gets what is known of a request.
   * @param fingerprint - The request.
   */
  getEntry(fingerprint: Fingerprint): QuarantineEntry | undefined {
    return this.entries.get(fingerprint)?.entry;
  }

  /**
   * Gets the targets that died while they ran a request, each once.
   * @param fingerprint - The request.
   */
  getDeadTargets(fingerprint: Fingerprint): readonly TargetId[] {
    const deaths = this.getEntry(fingerprint)?.deaths ?? [];
    return [...new Set(deaths.map(({target}) => target))];
  }

  /**
   * Gets the wall time of the last death in which a request took part; 0 when
   * there was none.
   * @param fingerprint - The request.
   */
  getLastDeathMs(fingerprint: Fingerprint): number {
    const deaths = this.getEntry(fingerprint)?.deaths ?? [];
    return Math.max(0, ...deaths.map(({atMs}) => atMs));
  }

  /** Gets what the other daemons should hear: quarantines, and recent news. */
  getEntries(): readonly QuarantineEntry[] {
    const oldestMs = this.clock.nowMs() - newsMs;
    return [...this.entries.values()]
      .filter(
        ({entry, changedAtMs}) =>
          changedAtMs >= oldestMs || this.isQuarantined(entry.fingerprint),
      )
      .map(({entry}) => entry);
  }

  /**
   * Takes in another daemon's entries, in any order and any number of times.
   * @param entries - The entries.
   */
  mergeEntries(entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) {
      const own = this.getEntry(entry.fingerprint);
      if (own === undefined || entry.version > own.version) {
        this.addEntry(entry);
      } else if (entry.version === own.version) {
        this.addDeaths(own, entry.deaths);
      }
    }
  }

  /** Adds deaths; an entry that already has them keeps its age. */
  private addDeaths(
    own: QuarantineEntry,
    others: readonly DeathRecord[],
  ): void {
    const deaths = uniteDeaths(own.deaths, others);
    if (deaths.length > own.deaths.length) this.addEntry({...own, deaths});
  }

  private countDeaths(fingerprint: Fingerprint): number {
    const entry = this.getEntry(fingerprint);
    return entry === undefined ? 0 : countEvents(entry.deaths);
  }

  private getEntryOrNew(fingerprint: Fingerprint): QuarantineEntry {
    const entry = this.getEntry(fingerprint);
    return entry ?? {fingerprint, version: 0, deaths: []};
  }

  /** Keeps the entry without deaths, so that the others clear theirs too. */
  private clear(fingerprint: Fingerprint): void {
    const {version} = this.getEntryOrNew(fingerprint);
    this.addEntry({fingerprint, version: version + 1, deaths: []});
  }

  private addEntry(entry: QuarantineEntry): void {
    // Put last, so that the entries stand in the order of their changes.
    this.entries.delete(entry.fingerprint);
    const changedAtMs = this.clock.nowMs();
    this.entries.set(entry.fingerprint, {entry, changedAtMs});
    this.removeOldSuspicions();
    if (this.entries.size > this.maxEntries) this.removeOldest();
  }

  private removeOldSuspicions(): void {
    const oldestMs = this.clock.nowMs() - suspicionMs;
    for (const [fingerprint, {changedAtMs}] of this.entries) {
      if (changedAtMs >= oldestMs) return;
      if (!this.isQuarantined(fingerprint)) this.entries.delete(fingerprint);
    }
  }

  private removeOldest(): void {
    const keys = [...this.entries.keys()];
    const oldest = keys.find((key) => !this.isQuarantined(key)) ?? keys[0];
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}

/** Unites two sets of deaths; order and repetition make no difference. */
function uniteDeaths(
  left: readonly DeathRecord[],
  right: readonly DeathRecord[],
): DeathRecord[] {
  const deaths = new Map<string, DeathRecord>();
  for (const death of [...left, ...right]) {
    deaths.set(`${death.target} ${death.atMs}`, death);
  }
  return [...deaths.values()].sort(compareDeaths);
}

/** Counts deaths; records of one target close in time are the same death. */
function countEvents(deaths: readonly DeathRecord[]): number {
  const lastMs = new Map<TargetId, number>();
  let events = 0;
  for (const {target, atMs} of [...deaths].sort(compareDeaths)) {
    const previousMs = lastMs.get(target);
    lastMs.set(target, atMs);
    const isSameDeath =
      previousMs !== undefined && atMs - previousMs <= sameDeathMs;
    if (!isSameDeath) events += 1;
  }
  return events;
}

function compareDeaths(left: DeathRecord, right: DeathRecord): number {
  if (left.target !== right.target) return left.target < right.target ? -1 : 1;
  return left.atMs - right.atMs;
}
