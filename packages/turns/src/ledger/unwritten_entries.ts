/** Ledger entries that an archive counts but has not made durable. */
import type {ProgramId} from '@marigoldpost/common';
import type {TurnId} from '@marigoldpost/sites';
import type {LedgerEntry} from './budget_ledger.js';

/** Tracks the newest unwritten entry of each attempt. */
export class UnwrittenEntries {
  private readonly programs = new Map<ProgramId, Map<TurnId, LedgerEntry>>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): UnwrittenEntries {
    return new UnwrittenEntries();
  }

  /**
   * Gets the unwritten entry of an attempt, if there is one.
   * @param program - Program of the attempt.
   * @param attempt - Id of the attempt.
   */
  get(program: ProgramId, attempt: TurnId): LedgerEntry | undefined {
    return this.programs.get(program)?.get(attempt);
  }

  /**
   * Adds entries whose write begins.
   * @param program - Program of the entries.
   * @param entries - Entries that the ledger counts from now on.
   */
  add(program: ProgramId, entries: readonly LedgerEntry[]): void {
    const unwritten = this.programs.get(program) ?? new Map();
    for (const entry of entries) unwritten.set(entry.attempt, entry);
    if (unwritten.size > 0) this.programs.set(program, unwritten);
  }

  /**
   * Removes entries that are durable, unless a newer one has replaced them.
   * @param program - Program of the entries.
   * @param entries - Entries that have been synced.
   */
  remove(program: ProgramId, entries: readonly LedgerEntry[]): void {
    const unwritten = this.programs.get(program);
    for (const entry of entries) {
      if (unwritten?.get(entry.attempt) !== entry) continue;
      unwritten.delete(entry.attempt);
    }
    if (unwritten?.size === 0) this.programs.delete(program);
  }

  /**
   * Removes the entries of programs that the ledger no longer has.
   * @param isKept - Whether the ledger has entries of a program.
   */
  removePrograms(isKept: (program: ProgramId) => boolean): void {
    for (const program of this.programs.keys()) {
      if (!isKept(program)) this.programs.delete(program);
    }
  }
}
