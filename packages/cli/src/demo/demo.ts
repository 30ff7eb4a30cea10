/** The demo: both deployments in turn, under faults, judged at the end. */
import {deployments} from './deployment.js';
import {type DemoVerdict, isClean, judgeDemo} from './demo_judge.js';
import {renderDemoTable} from './demo_report.js';
import {DemoRun, type ShowProgress} from './demo_run.js';

/** Result of the demo. */
export interface DemoResult {
  /** Verdict of each deployment, by its title. */
  readonly verdicts: ReadonlyMap<string, DemoVerdict>;
  /** Whether no promise was broken. */
  readonly isClean: boolean;
}

/**
 * Runs the demo.
 * @param show - Gets lines of progress, and the closing table.
 */
export async function runDemo(show: ShowProgress): Promise<DemoResult> {
  const verdicts = new Map<string, DemoVerdict>();
  for (const deployment of deployments) {
    const evidence = await DemoRun.run(deployment, show);
    verdicts.set(deployment.title, judgeDemo(evidence));
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
    show(`  ${count} programs gave up: ${failure}`);
  }
}
