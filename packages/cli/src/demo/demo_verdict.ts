/** Checks a run of the demo for violated guarantees. */
import type {DemoEvidence, ProgramEvidence} from './demo_evidence.js';

/**
 * Figures and counts of a run. The counts of doubled and lost bookings, wrong
 * histories, exceeded budgets and false refusals must be 0.
 */
export interface DemoVerdict {
  readonly finished: number;
  readonly started: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  /** Block time of prefixes never reused, as a fraction of all block time. */
  readonly wastedShare: number;
  readonly confirmedBookings: number;
  readonly unknownBookings: number;
  /** Executions of a booking after its first. */
  readonly doubledBookings: number;
  /** Bookings confirmed to the caller that were not executed. */
  readonly lostBookings: number;
  /** Histories that differ from what the caller sent and received. */
  readonly wrongHistories: number;
  /** Programs that, with their sub-agents, used more than the budget. */
  readonly exceededBudgets: number;
  /** Bookings reported as `not_run` that were executed. */
  readonly falseRefusals: number;
}

/**
 * Counts the violated guarantees of a run and calculates its latencies.
 * @param evidence - Observations of callers and stand-ins.
 */
export function evaluateDemo(evidence: DemoEvidence): DemoVerdict {
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
 * Whether a run violated no guarantee.
 * @param verdict - Result of `evaluateDemo`.
 */
export function isClean(verdict: DemoVerdict): boolean {
  const {doubledBookings, lostBookings, wrongHistories} = verdict;
  const {exceededBudgets, falseRefusals} = verdict;
  const violationCount =
    doubledBookings +
    lostBookings +
    wrongHistories +
    exceededBudgets +
    falseRefusals;
  return violationCount === 0;
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
