/** Judges a run of the demo by what its callers and stand-ins saw. */
import type {DemoEvidence, ProgramEvidence} from './demo_evidence.js';

/** Counts of a run; those after `wastedShare` must be 0. */
export interface DemoVerdict {
  readonly finished: number;
  readonly started: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  /** Block time on prefixes never reused, over all block time. */
  readonly wastedShare: number;
  readonly confirmedBookings: number;
  readonly unknownBookings: number;
  readonly doubledBookings: number;
  readonly lostBookings: number;
  readonly wrongHistories: number;
  readonly exceededBudgets: number;
  readonly falseRefusals: number;
}

/**
 * Judges a run.
 * @param evidence - What was seen.
 */
export function judgeDemo(evidence: DemoEvidence): DemoVerdict {
  const {programs, bookings} = evidence;
  const finished = programs.filter(({isFinished}) => isFinished);
  const latencies = finished.map(({latencyMs}) => latencyMs);
  const sorted = latencies.sort((left, right) => left - right);
  const executed = new Set(evidence.executedKeys);
  const withResult = (result: string) =>
    bookings.filter((booking) => booking.result === result);
  return {
    finished: finished.length,
    started: programs.length,
    p50Ms: getQuantile(sorted, 0.5),
    p95Ms: getQuantile(sorted, 0.95),
    p99Ms: getQuantile(sorted, 0.99),
    wastedShare: evidence.wastedBlockMs / Math.max(1, evidence.heldBlockMs),
    confirmedBookings: withResult('confirmed').length,
    unknownBookings: withResult('unknown').length,
    doubledBookings: evidence.executedKeys.length - executed.size,
    lostBookings: withResult('confirmed').filter(({key}) => !executed.has(key))
      .length,
    wrongHistories: programs.filter(hasWrongHistory).length,
    exceededBudgets: countExceededBudgets(evidence),
    falseRefusals: withResult('not_run').filter(({key}) => executed.has(key))
      .length,
  };
}

/**
 * Whether a run broke none of the promises.
 * @param verdict - The verdict on the run.
 */
export function isClean(verdict: DemoVerdict): boolean {
  const {doubledBookings, lostBookings, wrongHistories} = verdict;
  const {exceededBudgets, falseRefusals} = verdict;
  const broken =
    doubledBookings +
    lostBookings +
    wrongHistories +
    exceededBudgets +
    falseRefusals;
  return broken === 0;
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

function hasWrongHistory({expected, history}: ProgramEvidence): boolean {
  if (history === undefined) return false;
  return JSON.stringify(history) !== JSON.stringify(expected);
}

function countExceededBudgets(evidence: DemoEvidence): number {
  const roots = new Map(
    evidence.programs.map(({program, root}) => [program, root]),
  );
  const used = new Map<string, number>();
  for (const {program, tokens} of evidence.engineTokens) {
    const root = roots.get(program) ?? program;
    used.set(root, (used.get(root) ?? 0) + tokens);
  }
  const totals = [...used.values()];
  return totals.filter((tokens) => tokens > evidence.budgetTokens).length;
}
