/** Detection of requests that kill the targets that run them. */
import type {Clock, Fingerprint, TargetId} from '@marigoldpost/common';

/** Death of a target while it ran a request. */
export interface DeathRecord {
  readonly target: TargetId;
  /** Registered start of the target instance that died; 0 if unknown. */
  readonly startedAtMs: number;
  /**
   * Number of the death among those of the instance, from 1: a daemon may know
   * a restarted target by its old registration.
   */
  readonly ordinal: number;
  /** Wall time at the daemon that detected it, in milliseconds since 1970. */
  readonly atMs: number;
  /** Whether a daemon that knew of the death saw the request complete. */
  readonly isCleared: boolean;
}

/** Quarantine state of one request; daemons exchange and merge entries. */
export interface QuarantineEntry {
  readonly fingerprint: Fingerprint;
  /** Incremented when the quarantine is lifted; the higher one wins. */
  readonly version: number;
  /** Deaths recorded under this version, cleared ones included. */
  readonly deaths: readonly DeathRecord[];
  /**
   * Number of deaths when the request was quarantined, 0 before. A completion
   * at a daemon that did not know all of them does not lift the quarantine.
   */
  readonly quarantinedDeaths: number;
}

/** Instance and run of a death. */
export interface DeathDetails {
  /** Registered start of the target instance; 0 if unknown. */
  readonly startedAtMs?: number;
  /** Start of the run, on the quarantine's clock, if known. */
  readonly runStartedAtMs?: number;
  /** End of the run; now by default. */
  readonly runEndedAtMs?: number;
}

/** Clock and bounds of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Number of deaths after which a request is quarantined. */
  readonly deathsToQuarantine: number;
  /** Maximum number of entries; the oldest suspects are evicted first. */
  readonly maxEntries?: number;
}

/** An entry with times on this daemon's clock. */
interface TimestampedEntry {
  readonly entry: QuarantineEntry;
  readonly changedAtMs: number;
  /** Revision of the quarantine at the last change. */
  readonly revision: number;
  /** When this daemon learned of each death, by key. */
  readonly learnedAtMs: ReadonlyMap<string, number>;
}

const defaultMaxEntries = 10_000;
/** Time that a change without a quarantine is announced to other daemons. */
const announcementMs = 60_000;
/**
 * Time that a suspicion is kept. It must exceed the announcement time, or an
 * announcement could restore an expired suspicion.
 */
const suspicionRetentionMs = 600_000;
/**
 * Time within which daemons detect the same death; for deaths whose run's start
 * is unknown.
 */
const duplicateDeathWindowMs = 10_000;
/** Shorter than the time that a dead target takes to come back. */
const minRestartMs = 1000;

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
  private lastRevision = 0;

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

  /** Number of changes so far. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Number of entries, cleared ones included. */
  get size(): number {
    return this.entries.size;
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
   * Records the death of a target, once for each request that it ran. Returns
   * the requests for which the death is new.
   * @param target - Target that died.
   * @param fingerprints - Requests that were running on it.
   * @param details - Instance of the target and start of the run.
   */
  recordDeath(
    target: TargetId,
    fingerprints: readonly Fingerprint[],
    details: DeathDetails = {},
  ): Fingerprint[] {
    const {startedAtMs = 0} = details;
    const atMs = this.clock.wallTimeMs();
    return [...new Set(fingerprints)].filter((fingerprint) => {
      const entry = this.getEntryOrEmpty(fingerprint);
      const ordinal = this.findNextOrdinal(entry, target, details);
      if (ordinal === undefined) return false;
      const isCleared = false;
      const death = {target, startedAtMs, ordinal, atMs, isCleared};
      const deaths = mergeDeaths(entry.deaths, [death]);
      this.putEntry(this.markQuarantined({...entry, deaths}));
      return true;
    });
  }

  /**
   * Records that a request completed, which clears the deaths that this daemon
   * knows of unless the request is quarantined.
   * @param fingerprint - Request that completed.
   */
  recordSurvival(fingerprint: Fingerprint): void {
    if (!this.isSuspect(fingerprint)) return;
    const entry = this.getEntryOrEmpty(fingerprint);
    const deaths = entry.deaths.map((death) => ({...death, isCleared: true}));
    this.putEntry({...entry, deaths});
  }

  /**
   * Lifts a quarantine or suspicion, at an operator's request or because the
   * request has completed although it was quarantined.
   * @param fingerprint - Request to lift; an unknown one is ignored.
   */
  lift(fingerprint: Fingerprint): void {
    const entry = this.getEntry(fingerprint);
    if (entry === undefined) return;
    // Keeps the entry, so that other daemons lift theirs as well.
    const version = entry.version + 1;
    this.putEntry({fingerprint, version, deaths: [], quarantinedDeaths: 0});
  }

  /**
   * Checks whether a request is quarantined and must not run.
   * @param fingerprint - Request to check.
   */
  isQuarantined(fingerprint: Fingerprint): boolean {
    const quarantinedDeaths =
      this.getEntry(fingerprint)?.quarantinedDeaths ?? 0;
    const deaths = Math.max(quarantinedDeaths, this.countDeaths(fingerprint));
    return deaths >= this.deathsToQuarantine;
  }

  /**
   * Checks whether a request is suspect and must run alone on its target.
   * @param fingerprint - Request to check.
   */
  isSuspect(fingerprint: Fingerprint): boolean {
    const hasDeaths = this.countDeaths(fingerprint) > 0;
    return hasDeaths && !this.isQuarantined(fingerprint);
  }

  /**
   * Counts the deaths of targets that ran a request, without cleared ones.
   * @param fingerprint - Request to look up.
   */
  countDeaths(fingerprint: Fingerprint): number {
    const deaths = this.getEntry(fingerprint)?.deaths ?? [];
    return deaths.filter(({isCleared}) => !isCleared).length;
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

  /**
   * Gets the entries to announce: quarantined or recently changed ones.
   * @param sinceRevision - Omits entries that have not changed since.
   */
  getEntries(sinceRevision = 0): readonly QuarantineEntry[] {
    if (this.lastRevision <= sinceRevision) return [];
    const oldestMs = this.clock.nowMs() - announcementMs;
    return [...this.entries.values()]
      .filter(({revision}) => revision > sinceRevision)
      .filter(
        ({entry, changedAtMs}) =>
          changedAtMs >= oldestMs || this.isQuarantined(entry.fingerprint),
      )
      .map(({entry}) => entry);
  }

  /**
   * Gets all entries that are kept: quarantined ones, and suspicions until they
   * expire, announced or not.
   */
  getKeptEntries(): readonly QuarantineEntry[] {
    this.removeExpiredSuspicions();
    return [...this.entries.values()].map(({entry}) => entry);
  }

  /**
   * Merges another daemon's entries; commutative and idempotent. Returns the
   * merged entries that have changed.
   * @param entries - Entries that the other daemon announced.
   */
  mergeEntries(entries: readonly QuarantineEntry[]): QuarantineEntry[] {
    return entries.flatMap((received) => {
      const own = this.getEntry(received.fingerprint);
      const merged = mergeEntry(own, received);
      if (merged === own) return [];
      this.putEntry(merged);
      return [merged];
    });
  }

  /**
   * Gets the ordinal of a new death; `undefined` if a recorded death explains
   * the broken run as well.
   */
  private findNextOrdinal(
    {fingerprint, deaths}: QuarantineEntry,
    target: TargetId,
    {
      startedAtMs = 0,
      runStartedAtMs,
      runEndedAtMs = this.clock.nowMs(),
    }: DeathDetails,
  ): number | undefined {
    const last = deaths
      .filter((death) => isOfInstance(death, target, startedAtMs))
      .reduce((ordinal, death) => Math.max(ordinal, death.ordinal), 0);
    if (last === 0) return 1;
    const key = getDeathKey({target, startedAtMs, ordinal: last});
    const known = this.entries.get(fingerprint);
    const learnedAtMs = known?.learnedAtMs.get(key) ?? 0;
    const isSameDeath =
      runStartedAtMs === undefined
        ? this.clock.nowMs() - learnedAtMs < duplicateDeathWindowMs
        : runStartedAtMs < learnedAtMs ||
          runEndedAtMs < learnedAtMs + minRestartMs;
    return isSameDeath ? undefined : last + 1;
  }

  private markQuarantined(entry: QuarantineEntry): QuarantineEntry {
    const {length} = entry.deaths.filter(({isCleared}) => !isCleared);
    if (length < this.deathsToQuarantine) return entry;
    const quarantinedDeaths = Math.max(length, entry.quarantinedDeaths);
    return {...entry, quarantinedDeaths};
  }

  private getEntryOrEmpty(fingerprint: Fingerprint): QuarantineEntry {
    const entry = this.getEntry(fingerprint);
    return entry ?? {fingerprint, version: 0, deaths: [], quarantinedDeaths: 0};
  }

  private putEntry(changed: QuarantineEntry): void {
    const {fingerprint, deaths} = changed;
    const known = this.entries.get(fingerprint);
    const changedAtMs = this.clock.nowMs();
    this.lastRevision += 1;
    // Reinserts the entry, so that the map is ordered by time of change.
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, {
      entry: changed,
      changedAtMs,
      revision: this.lastRevision,
      learnedAtMs: new Map(
        deaths.map((death) => {
          const key = getDeathKey(death);
          return [key, known?.learnedAtMs.get(key) ?? changedAtMs];
        }),
      ),
    });
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

/** Merges an entry into the own one, which is returned if nothing changes. */
function mergeEntry(
  own: QuarantineEntry | undefined,
  received: QuarantineEntry,
): QuarantineEntry {
  if (own === undefined || received.version > own.version) {
    return {...received, deaths: mergeDeaths(received.deaths, [])};
  }
  if (received.version < own.version) return own;
  const deaths = mergeDeaths(own.deaths, received.deaths);
  const quarantinedDeaths = Math.max(
    own.quarantinedDeaths,
    received.quarantinedDeaths,
  );
  const isChanged =
    quarantinedDeaths > own.quarantinedDeaths ||
    deaths.length > own.deaths.length ||
    deaths.some((death, index) => !isSameRecord(death, own.deaths[index]));
  return isChanged ? {...own, deaths, quarantinedDeaths} : own;
}

/** Merges two sets of deaths; commutative and idempotent. */
function mergeDeaths(
  left: readonly DeathRecord[],
  right: readonly DeathRecord[],
): DeathRecord[] {
  const deaths = new Map<string, DeathRecord>();
  for (const death of [...left, ...right]) {
    const key = getDeathKey(death);
    const known = deaths.get(key) ?? death;
    const atMs = Math.min(known.atMs, death.atMs);
    const isCleared = known.isCleared || death.isCleared;
    deaths.set(key, {...death, atMs, isCleared});
  }
  return [...deaths]
    .sort(([leftKey], [rightKey]) => (leftKey < rightKey ? -1 : 1))
    .map(([, death]) => death);
}

function getDeathKey({
  target,
  startedAtMs,
  ordinal,
}: Pick<DeathRecord, 'target' | 'startedAtMs' | 'ordinal'>): string {
  return `${target} ${startedAtMs} ${ordinal}`;
}

function isOfInstance(
  death: DeathRecord,
  target: TargetId,
  startedAtMs: number,
): boolean {
  return death.target === target && death.startedAtMs === startedAtMs;
}

function isSameRecord(
  death: DeathRecord,
  known: DeathRecord | undefined,
): boolean {
  return death.atMs === known?.atMs && death.isCleared === known.isCleared;
}
