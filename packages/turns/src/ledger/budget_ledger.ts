/** Ledger of the tokens that attempts reserved and used, by program. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';

/** Reported for a reservation whose time has passed since the last read. */
const minUnreadLapseMs = 1;

/** Tokens that one attempt takes from its program's budget. */
export interface LedgerEntry {
  readonly attempt: TurnId;
  /** Tokens used when settled; else the upper bound that was reserved. */
  readonly tokens: number;
  readonly isSettled: boolean;
  /**
   * Time left until a reservation that has not been confirmed lapses; 0 once it
   * has, which is known only once the object API has been read. `undefined` for
   * others.
   */
  readonly lapseMs?: number | undefined;
  /**
   * Time left in which the attempt of a confirmed reservation may be in progress; 0
   * afterwards. `undefined` for others, and if it is not known.
   */
  readonly openMs?: number | undefined;
  /**
   * Whether only the object API has told of the reservation: archives that have
   * recorded it know whether it was confirmed or has lapsed.
   */
  readonly isReported?: boolean | undefined;
}

/** Request to reserve tokens for an attempt. */
export interface Reservation {
  readonly program: ProgramId;
  readonly attempt: TurnId;
  readonly tokens: number;
  readonly budgetTokens: number;
  /** Whether to record the reservation even above the budget. */
  readonly isForced: boolean;
  /** Disk of the archive whose count is relied on; empty if not known. */
  readonly counter: string;
  /**
   * Time after which the reservation lapses unless it is confirmed: requested
   * again without this time. `undefined` for one that does not lapse.
   */
  readonly lapseMs?: number | undefined;
}

/** Result of a reservation. */
export interface ReservationResult {
  readonly isGranted: boolean;
  /** Tokens reserved or used by the program's attempts, this one included. */
  readonly heldTokens: number;
  /** Tokens used by the program's settled attempts. */
  readonly settledTokens: number;
  /** Whether the reservation changed the ledger. */
  readonly isNew: boolean;
  /** Whether no reservation of the program relied on another count. */
  readonly isExact: boolean;
}

interface ProgramBudget {
  readonly entries: Map<TurnId, LedgerEntry>;
  /** When reservations lapse that have not been confirmed. */
  readonly lapses: Map<TurnId, number>;
  /** When attempts of confirmed reservations cannot be in progress any more. */
  readonly ends: Map<TurnId, number>;
  heldTokens: number;
  settledTokens: number;
  changedAtMs: number;
  /** Counter that the reservations named; `undefined` before the first one. */
  counter: string | undefined;
  /** Whether reservations were forced, or relied on more than one counter. */
  isContended: boolean;
}

/**
 * Ledger of one archive. An entry changes only from reported to reserved to
 * confirmed to settled, so ledgers of several archives can be merged in any order. One that
 * has lapsed counts no tokens, but can be confirmed or settled.
 */
export class BudgetLedger {
  private readonly budgets = new Map<ProgramId, ProgramBudget>();
  /** Programs with reservations whose time may have passed unread. */
  private readonly lapsing = new Set<ProgramBudget>();
  /** When the last read of the reservations in the object API began. */
  private readAtMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): BudgetLedger {
    return new BudgetLedger();
  }

  /** Number of programs with entries. */
  get size(): number {
    return this.budgets.size;
  }

  /**
   * Reserves tokens unless they exceed the budget; idempotent per attempt.
   * @param reservation - Attempt, its tokens and the program's budget.
   * @param nowMs - Current time of the ledger's clock.
   */
  reserve(reservation: Reservation, nowMs: number): ReservationResult {
    const {program, attempt, tokens, budgetTokens, isForced, lapseMs} =
      reservation;
    const budget = this.getOrCreateBudget(program, nowMs);
    const {settledTokens} = budget;
    recordCounter(budget, reservation);
    const isExact = !budget.isContended;
    const result = {settledTokens, isExact, isNew: false};
    const otherTokens = budget.heldTokens - this.getLapsedTokens(budget, nowMs);
    const existing = budget.entries.get(attempt);
    if (existing !== undefined && existing.isReported !== true) {
      const isNew = lapseMs === undefined && confirm(budget, attempt);
      if (isNew) budget.changedAtMs = nowMs;
      return {...result, isGranted: true, heldTokens: otherTokens, isNew};
    }
    const heldTokens = otherTokens + (existing === undefined ? tokens : 0);
    if (!isForced && existing === undefined && heldTokens > budgetTokens) {
      return {...result, isGranted: false, heldTokens};
    }
    const entry = {attempt, tokens, isSettled: false, lapseMs};
    this.putEntry(program, entry, nowMs);
    return {...result, isGranted: true, heldTokens, isNew: true};
  }

  /**
   * Records that the count of a program may lack reservations, or may include
   * some that were not checked against it.
   * @param program - Id of the program.
   */
  markContended(program: ProgramId): void {
    const budget = this.budgets.get(program);
    if (budget !== undefined) budget.isContended = true;
  }

  /**
   * Merges an entry from another archive, the log or a settlement; `false` when
   * the ledger is unchanged.
   * @param program - Program of the entry.
   * @param entry - Reserved or settled tokens of an attempt.
   * @param nowMs - Current time of the ledger's clock.
   */
  mergeEntry(program: ProgramId, entry: LedgerEntry, nowMs: number): boolean {
    const budget = this.budgets.get(program);
    const existing = budget?.entries.get(entry.attempt);
    if (existing?.isSettled === true) return false;
    if (budget !== undefined && existing !== undefined && !entry.isSettled) {
      if (entry.isReported === true) return false;
      if (existing.isReported !== true) {
        this.lapsing.add(budget);
        return mergeLapse(budget, entry, nowMs);
      }
    }
    this.putEntry(program, entry, nowMs);
    return true;
  }

  /**
   * Gets the entries of a program; empty for an unknown program.
   * @param program - Id of the program.
   * @param nowMs - Current time of the ledger's clock.
   */
  getEntries(program: ProgramId, nowMs: number): LedgerEntry[] {
    const budget = this.budgets.get(program);
    if (budget === undefined) return [];
    const getLeftMs = (atMs: number) => Math.max(0, Math.ceil(atMs - nowMs));
    return [...budget.entries.values()].map((known) => {
      const {attempt, tokens, isSettled, isReported} = known;
      const entry = {attempt, tokens, isSettled, isReported};
      const lapsesAtMs = budget.lapses.get(attempt);
      if (lapsesAtMs !== undefined) {
        const leftMs = Math.max(minUnreadLapseMs, getLeftMs(lapsesAtMs));
        const isLapsed = this.hasLapsed(lapsesAtMs, nowMs);
        return {...entry, lapseMs: isLapsed ? 0 : leftMs};
      }
      const endsAtMs = budget.ends.get(attempt);
      if (endsAtMs === undefined) return entry;
      return {...entry, openMs: getLeftMs(endsAtMs)};
    });
  }

  /**
   * Gets when the first reservation lapses that did not before the last read of
   * the object API, which alone may have it as confirmed; `undefined` if none does.
   */
  getNextLapseMs(): number | undefined {
    let nextMs: number | undefined;
    for (const budget of this.lapsing) {
      const unread = [...budget.lapses.values()].filter(
        (atMs) => atMs > this.readAtMs,
      );
      if (unread.length === 0) this.lapsing.delete(budget);
      else nextMs = Math.min(nextMs ?? Number.POSITIVE_INFINITY, ...unread);
    }
    return nextMs;
  }

  /**
   * Records that the reservations in the object API have been merged.
   * @param startMs - When they were read, on the ledger's clock.
   */
  recordRead(startMs: number): void {
    this.readAtMs = Math.max(this.readAtMs, startMs);
  }

  /**
   * Whether the ledger has entries of a program.
   * @param program - Id of the program.
   */
  has(program: ProgramId): boolean {
    return this.budgets.has(program);
  }

  /** Gets the ids of all programs with entries. */
  getPrograms(): ProgramId[] {
    return [...this.budgets.keys()];
  }

  /**
   * Removes programs that have been idle.
   * @param beforeMs - Removes programs last changed before this time.
   */
  removeIdle(beforeMs: number): void {
    for (const [program, budget] of this.budgets) {
      if (budget.changedAtMs >= beforeMs) continue;
      this.budgets.delete(program);
      this.lapsing.delete(budget);
    }
  }

  private putEntry(
    program: ProgramId,
    entry: LedgerEntry,
    nowMs: number,
  ): void {
    const budget = this.getOrCreateBudget(program, nowMs);
    const before = budget.entries.get(entry.attempt)?.tokens ?? 0;
    budget.entries.set(entry.attempt, entry);
    setTimes(budget, entry, nowMs);
    if (budget.lapses.has(entry.attempt)) this.lapsing.add(budget);
    budget.heldTokens += entry.tokens - before;
    // The tokens of an entry change only once, when it is settled.
    if (entry.isSettled) budget.settledTokens += entry.tokens;
    budget.changedAtMs = nowMs;
  }

  private getLapsedTokens(
    {entries, lapses}: ProgramBudget,
    nowMs: number,
  ): number {
    let tokens = 0;
    for (const [attempt, lapsesAtMs] of lapses) {
      if (this.hasLapsed(lapsesAtMs, nowMs)) {
        tokens += entries.get(attempt)?.tokens ?? 0;
      }
    }
    return tokens;
  }

  private hasLapsed(lapsesAtMs: number, nowMs: number): boolean {
    return lapsesAtMs <= nowMs && lapsesAtMs <= this.readAtMs;
  }

  private getOrCreateBudget(program: ProgramId, nowMs: number): ProgramBudget {
    const existing = this.budgets.get(program);
    if (existing !== undefined) return existing;
    const added: ProgramBudget = {
      entries: new Map(),
      lapses: new Map(),
      ends: new Map(),
      heldTokens: 0,
      settledTokens: 0,
      changedAtMs: nowMs,
      counter: undefined,
      isContended: false,
    };
    this.budgets.set(program, added);
    return added;
  }
}

function setTimes(
  {lapses, ends}: ProgramBudget,
  {attempt, isSettled, lapseMs, openMs}: LedgerEntry,
  nowMs: number,
): void {
  lapses.delete(attempt);
  ends.delete(attempt);
  if (isSettled) return;
  if (lapseMs !== undefined) lapses.set(attempt, nowMs + lapseMs);
  else if (openMs !== undefined) ends.set(attempt, nowMs + openMs);
}

/** Confirms a reservation that may lapse; `false` if there is none. */
function confirm({lapses, ends}: ProgramBudget, attempt: TurnId): boolean {
  const lapsesAtMs = lapses.get(attempt);
  if (lapsesAtMs === undefined) return false;
  // Its attempt ends with its call, just before it would have lapsed.
  ends.set(attempt, lapsesAtMs);
  return lapses.delete(attempt);
}

/** Merges a reservation into an existing one; true if that is confirmed by it. */
function mergeLapse(
  budget: ProgramBudget,
  {attempt, lapseMs}: LedgerEntry,
  nowMs: number,
): boolean {
  const {lapses} = budget;
  const lapsesAtMs = lapses.get(attempt);
  if (lapsesAtMs === undefined) return false;
  if (lapseMs === undefined) return confirm(budget, attempt);
  lapses.set(attempt, Math.max(lapsesAtMs, nowMs + lapseMs));
  return false;
}

/** Entry VMs that rely on different counters do not see each other's sums. */
function recordCounter(
  budget: ProgramBudget,
  {counter, isForced}: Reservation,
): void {
  budget.counter ??= counter;
  const isOther = counter === '' || counter !== budget.counter;
  budget.isContended ||= isForced || isOther;
}
