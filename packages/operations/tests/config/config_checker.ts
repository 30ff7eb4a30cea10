/** Checks the configurations that operators and daemons have observed. */
import assert from 'node:assert/strict';
import {getConfigHash, type ConfigRecord} from '@marigoldpost/operations';
import type {ReportedOutcome} from './config_fixture.js';

/** Checks that each reported outcome is true and that no version is missing. */
export function checkOutcomes(
  records: readonly ConfigRecord[],
  reported: readonly ReportedOutcome[],
): void {
  checkVersions(records);
  for (const {text, accepted, error} of reported) {
    const found = records.find((record) => record.text === text);
    if (accepted !== undefined) {
      assert.equal(found?.version, accepted.version, `accepted "${text}"`);
    } else if (error?.kind !== 'store_ambiguous') {
      assert.equal(found, undefined, `rejected "${text}" was accepted`);
    }
  }
}

/** Checks that the active versions of one daemon only increase. */
export function checkNeverReverts(versions: readonly number[]): void {
  for (const [index, version] of versions.entries()) {
    const former = versions[index - 1] ?? 0;
    assert.ok(version > former, `version ${version} after ${former}`);
  }
}

function checkVersions(records: readonly ConfigRecord[]): void {
  for (const [index, record] of records.entries()) {
    assert.equal(record.version, index + 1, 'version is missing');
    const previous = records[index - 1];
    const hash = previous === undefined ? '' : getConfigHash(previous.text);
    assert.equal(record.previousHash, hash, `version ${record.version}`);
  }
}
