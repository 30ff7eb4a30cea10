/** Log segments that contain the ledger entries of each program. */
import type {ProgramId} from '@marigoldpost/common';

/** Tracks which log segments the ledgers need. */
export class LedgerSegments {
  private readonly segments = new Map<ProgramId, Set<number>>();

  private constructor() {}

  /** Creates an instance without segments. */
  static create(): LedgerSegments {
    return new LedgerSegments();
  }

  /**
   * Adds a segment to which entries of a program have been written.
   * @param program - Program of the entries.
   * @param segment - Segment number.
   */
  add(program: ProgramId, segment: number): void {
    const known = this.segments.get(program);
    if (known === undefined) this.segments.set(program, new Set([segment]));
    else known.add(segment);
  }

  /**
   * Gets the programs with entries in a segment.
   * @param segment - Segment number.
   */
  findPrograms(segment: number): ProgramId[] {
    return [...this.segments]
      .filter(([, segments]) => segments.has(segment))
      .map(([program]) => program);
  }

  /**
   * Removes the segments of a program whose ledger is written again; gets them.
   * Entries that are written meanwhile add theirs anew.
   * @param program - Program of the ledger.
   */
  take(program: ProgramId): number[] {
    const segments = [...(this.segments.get(program) ?? [])];
    this.segments.delete(program);
    return segments;
  }

  /**
   * Removes the segments of programs that the ledger no longer has.
   * @param isKept - Whether the ledger has entries of a program.
   */
  removePrograms(isKept: (program: ProgramId) => boolean): void {
    for (const program of this.segments.keys()) {
      if (!isKept(program)) this.segments.delete(program);
    }
  }
}
