/** Ledger of the tokens that attempts reserved and used, by program. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';

/** Tokens that one attempt takes from its program's budget. */
export interface LedgerEntry {
  readonly attempt: TurnId;
  /** Tokens used when settled; else the upper bound that was reserved. */
  readonly tokens: number;
  readonly isSettled: boolean;
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
  heldTokens: number;
  settledTokens: number;
  changedAtMs: number;
  /** Counter that the reservations named; `undefined` before the first one. */
  counter: string | undefined;
  /** Whether reservations were forced, or relied on more than one counter. */
  isContended: boolean;
}

/**
 * Ledger of one archive. An entry changes only from reserved to settled, so
 * ledgers of several archives can be merged in any order.
 */
export class BudgetLedger {
  private readonly budgets = new Map<ProgramId, ProgramBudget>();

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
    const {program, attempt, tokens, budgetTokens, isForced} = reservation;
    const budget = this.getOrCreateBudget(program, nowMs);
    const {settledTokens} = budget;
    recordCounter(budget, reservation);
    const isExact = !budget.isContended;
    const result = {settledTokens, isExact, isNew: false};
    if (budget.entries.has(attempt)) {
      return {...result, isGranted: true, heldTokens: budget.heldTokens};
    }
    const heldTokens = budget.heldTokens + tokens;
    if (!isForced && heldTokens > budgetTokens) {
      return {...result, isGranted: false, heldTokens};
    }
    this.putEntry(program, {attempt, tokens, isSettled: false}, nowMs);
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
    const existing = this.budgets.get(program)?.entries.get(entry.attempt);
    if (existing !== undefined && (existing.isSettled || !entry.isSettled)) {
      return false;
    }
    this.putEntry(program, entry, nowMs);
    return true;
  }

  /**
   * Gets the entries of a program; empty for an unknown program.
   * @param program - Id of the program.
   */
  getEntries(program: ProgramId): LedgerEntry[] {
    return [...(this.budgets.get(program)?.entries.values() ?? [])];
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
      if (budget.changedAtMs < beforeMs) this.budgets.delete(program);
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
    budget.heldTokens += entry.tokens - before;
    // An entry changes only once, when it is settled.
    if (entry.isSettled) budget.settledTokens += entry.tokens;
    budget.changedAtMs = nowMs;
  }

  private getOrCreateBudget(program: ProgramId, nowMs: number): ProgramBudget {
    const existing = this.budgets.get(program);
    if (existing !== undefined) return existing;
    const added: ProgramBudget = {
      entries: new Map(),
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

/** Entry VMs that rely on different counters do not see each other's sums. */
function recordCounter(
  budget: ProgramBudget,
  {counter, isForced}: Reservation,
): void {
  budget.counter ??= counter;
  const isOther = counter === '' || counter !== budget.counter;
  budget.isContended ||= isForced || isOther;
}
