/**
 * Runs the demo: each deployment in turn, under injected faults, with a check
 * of the guarantees at the end.
 */
import {deployments} from './deployment.js';
import {type DemoVerdict, evaluateDemo, isClean} from './demo_verdict.js';
import {renderDemoTable} from './demo_report.js';
import {DemoRun, type ShowProgress} from './demo_run.js';

/** Verdicts of all deployments. */
export interface DemoResult {
  /** Verdict of each deployment, by its title. */
  readonly verdicts: ReadonlyMap<string, DemoVerdict>;
  /** Whether no guarantee was violated in any deployment. */
  readonly isClean: boolean;
}

/**
 * Runs every deployment and prints the result table.
 * @param show - Receives progress lines and the result table.
 */
export async function runDemo(show: ShowProgress): Promise<DemoResult> {
  const verdicts = new Map<string, DemoVerdict>();
  for (const deployment of deployments) {
    const evidence = await DemoRun.run(deployment, show);
    verdicts.set(deployment.title, evaluateDemo(evidence));
    showFailures(evidence.programs, show);
  }
  show(renderDemoTable(verdicts));
  return {verdicts, isClean: [...verdicts.values()].every(isClean)};
}

function showFailures(
  programs: ReadonlyArray<{readonly failure: string}>,
  show: ShowProgress,
): void {
  const counts = new Map<string, number>();
  for (const {failure} of programs) {
    if (failure !== '') counts.set(failure, (counts.get(failure) ?? 0) + 1);
  }
  for (const [failure, count] of counts) {
    show(`  ${count} programs failed: ${failure}`);
  }
}
