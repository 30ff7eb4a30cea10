/** Tokens that attempts at turns have reserved and used, by program. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';

/** What one attempt holds of its program's budget. */
export interface LedgerEntry {
  readonly attempt: TurnId;
  /** Tokens used, or the most that it may use while it is not settled. */
  readonly tokens: number;
  readonly isSettled: boolean;
}

/** Wish to set tokens aside for an attempt. */
export interface Reservation {
  readonly program: ProgramId;
  readonly attempt: TurnId;
  readonly tokens: number;
  readonly budgetTokens: number;
  /** Recorded even above the budget. */
  readonly isForced: boolean;
}

/** What became of a reservation. */
export interface ReservationResult {
  readonly isGranted: boolean;
  /** Tokens that the program's attempts hold, this one included. */
  readonly heldTokens: number;
  /** Whether the ledger changed. */
  readonly isNew: boolean;
}

interface ProgramAccount {
  readonly entries: Map<TurnId, LedgerEntry>;
  heldTokens: number;
  changedAtMs: number;
}

/**
 * Ledger of one archive. Entries only ever go from reserved to settled, so the
 * ledgers of several archives can be merged in any order.
 */
export class BudgetLedger {
  private readonly accounts = new Map<ProgramId, ProgramAccount>();

  private constructor() {}

  /** Creates an empty ledger. */
  static create(): BudgetLedger {
    return new BudgetLedger();
  }

  /** Number of programs. */
  get size(): number {
    return this.accounts.size;
  }

  /**
   * Reserves tokens unless that exceeds the budget.
   * @param reservation - What to reserve.
   * @param nowMs - Time of the ledger's clock.
   */
  reserve(reservation: Reservation, nowMs: number): ReservationResult {
    const {program, attempt, tokens, budgetTokens, isForced} = reservation;
    const account = this.accounts.get(program);
    const held = account?.heldTokens ?? 0;
    if (account?.entries.has(attempt)) {
      return {isGranted: true, heldTokens: held, isNew: false};
    }
    if (!isForced && held + tokens > budgetTokens) {
      return {isGranted: false, heldTokens: held + tokens, isNew: false};
    }
    this.putEntry(program, {attempt, tokens, isSettled: false}, nowMs);
    return {isGranted: true, heldTokens: held + tokens, isNew: true};
  }

  /**
   * Adds an entry that another archive, the log or a settlement tells of;
   * false when it says nothing new.
   * @param program - The program.
   * @param entry - The entry.
   * @param nowMs - Time of the ledger's clock.
   */
  mergeEntry(program: ProgramId, entry: LedgerEntry, nowMs: number): boolean {
    const known = this.accounts.get(program)?.entries.get(entry.attempt);
    if (known !== undefined && (known.isSettled || !entry.isSettled)) {
      return false;
    }
    this.putEntry(program, entry, nowMs);
    return true;
  }

  /**
   * Gets the entries of a program.
   * @param program - The program.
   */
  getEntries(program: ProgramId): LedgerEntry[] {
    return [...(this.accounts.get(program)?.entries.values() ?? [])];
  }

  /** Gets every program. */
  getPrograms(): ProgramId[] {
    return [...this.accounts.keys()];
  }

  /**
   * Forgets programs that have not changed for long.
   * @param beforeMs - Programs last changed before this time go.
   */
  removeIdle(beforeMs: number): void {
    for (const [program, account] of this.accounts) {
      if (account.changedAtMs < beforeMs) this.accounts.delete(program);
    }
  }

  private putEntry(
    program: ProgramId,
    entry: LedgerEntry,
    nowMs: number,
  ): void {
    const account = this.getAccount(program, nowMs);
    const before = account.entries.get(entry.attempt)?.tokens ?? 0;
    account.entries.set(entry.attempt, entry);
    account.heldTokens += entry.tokens - before;
    account.changedAtMs = nowMs;
  }

  private getAccount(program: ProgramId, nowMs: number): ProgramAccount {
    const known = this.accounts.get(program);
    if (known !== undefined) return known;
    const added = {entries: new Map(), heldTokens: 0, changedAtMs: nowMs};
    this.accounts.set(program, added);
    return added;
  }
}
