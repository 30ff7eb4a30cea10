/**
 * Runs every feature, then prints `N passed, N failed`. A failing scenario that
 * KNOWN-RED.txt lists is printed and passed over; a listed scenario that passes
 * is a failure, so that the list cannot go stale.
 */
import {existsSync, readFileSync} from 'node:fs';
import {loadConfiguration, runCucumber} from '@cucumber/cucumber/api';

const knownRedPath = 'KNOWN-RED.txt';
const testLinePrefix = 'test: ';

function readKnownRed() {
  if (!existsSync(knownRedPath)) return new Set();
  const lines = readFileSync(knownRedPath, 'utf8').split('\n');
  const tests = lines.filter((line) => line.startsWith(testLinePrefix));
  return new Set(tests.map((line) => line.slice(testLinePrefix.length).trim()));
}

/** Collects the final status of each scenario from cucumber's messages. */
class ScenarioTally {
  pickles = new Map();
  pickleOfCase = new Map();
  caseOfRun = new Map();
  worstOfRun = new Map();
  results = new Map();

  accept(envelope) {
    if (envelope.pickle) this.pickles.set(envelope.pickle.id, envelope.pickle);
    if (envelope.testCase) {
      this.pickleOfCase.set(envelope.testCase.id, envelope.testCase.pickleId);
    }
    if (envelope.testCaseStarted) {
      const {id, testCaseId} = envelope.testCaseStarted;
      this.caseOfRun.set(id, testCaseId);
      this.worstOfRun.set(id, 'PASSED');
    }
    if (envelope.testStepFinished) this.acceptStep(envelope.testStepFinished);
    if (envelope.testCaseFinished) {
      this.acceptRun(envelope.testCaseFinished.testCaseStartedId);
    }
  }

  acceptStep({testCaseStartedId, testStepResult}) {
    if (testStepResult.status === 'PASSED') return;
    if (this.worstOfRun.get(testCaseStartedId) !== 'PASSED') return;
    this.worstOfRun.set(testCaseStartedId, testStepResult.status);
  }

  acceptRun(runId) {
    const pickleId = this.pickleOfCase.get(this.caseOfRun.get(runId));
    const pickle = this.pickles.get(pickleId);
    this.results.set(pickleId, {
      name: `${pickle.uri}: ${pickle.name}`,
      status: this.worstOfRun.get(runId),
    });
  }
}

const {runConfiguration} = await loadConfiguration();
const tally = new ScenarioTally();
const {success} = await runCucumber(runConfiguration, {}, (envelope) =>
  tally.accept(envelope),
);

const knownRed = readKnownRed();
let passed = 0;
let failed = 0;
let seenRed = 0;
for (const {name, status} of tally.results.values()) {
  if (knownRed.has(name)) {
    seenRed += 1;
    console.log(`known red (${status}): ${name}`);
    if (status === 'PASSED') failed += 1;
  } else if (status === 'PASSED') {
    passed += 1;
  } else {
    failed += 1;
  }
}
if (tally.results.size === 0) failed += 1;
// A failure outside any scenario (a step file that does not load, say).
if (!success && failed === 0 && seenRed === 0) failed += 1;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
