/** Judges what operators and daemons saw of the operators' text. */
import assert from 'node:assert/strict';
import {getTextHash, type OperatorsText} from '@marigoldpost/operations';
import type {ToldOutcome} from './config_fixture.js';

/** Checks that each operator was told the truth, and that no record lacks. */
export function checkAgreement(
  chain: readonly OperatorsText[],
  told: readonly ToldOutcome[],
): void {
  checkChain(chain);
  for (const {text, accepted, error} of told) {
    const found = chain.find((record) => record.text === text);
    if (accepted !== undefined) {
      assert.equal(found?.version, accepted.version, `accepted "${text}"`);
    } else if (error?.kind !== 'store_ambiguous') {
      assert.equal(found, undefined, `refused "${text}" was accepted`);
    }
  }
}

/** Checks that the versions in force on one daemon only grow. */
export function checkNeverReverts(versions: readonly number[]): void {
  for (const [index, version] of versions.entries()) {
    const former = versions[index - 1] ?? 0;
    assert.ok(version > former, `version ${version} after ${former}`);
  }
}

function checkChain(chain: readonly OperatorsText[]): void {
  for (const [index, record] of chain.entries()) {
    assert.equal(record.version, index + 1, 'version is missing');
    const previous = chain[index - 1];
    const hash = previous === undefined ? '' : getTextHash(previous.text);
    assert.equal(record.previousHash, hash, `version ${record.version}`);
  }
}
