/** Steps for the parser of a daemon's settings. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then, type World} from '@cucumber/cucumber';
import {isErrorOfKind} from '@marigoldpost/common';
import fc from 'fast-check';
import {parseDaemonSettings, readDaemonText} from '@marigoldpost/settings';

interface SettingsWorld extends World {
  text: string;
}

const seed = 20261203;
const examplePath = 'examples/tran-gia/daemons/entry-1.ini';

Given(
  'the daemon settings with {string} changed to {string}',
  function (this: SettingsWorld, found: string, changed: string) {
    const example = readFileSync(examplePath, 'utf8');
    assert.ok(example.includes(found));
    this.text = example.replace(found, changed);
  },
);

Then(
  'reading the daemon settings throws {string} that says {string}',
  function (this: SettingsWorld, kind: string, message: string) {
    assert.throws(
      () => parseDaemonSettings(this.text),
      (error) => {
        assert.ok(isErrorOfKind(error));
        assert.equal(error.kind, kind);
        assert.ok(error.message.includes(message), error.message);
        return true;
      },
    );
  },
);

Then(
  'any text is parsed as daemon settings or rejected with problems',
  function () {
    const lines = readFileSync(examplePath, 'utf8').split('\n');
    const line = fc.oneof(fc.constantFrom(...lines), fc.string());
    fc.assert(
      fc.property(fc.array(line), (all) => {
        const {problems, settings} = readDaemonText(all.join('\n'));
        assert.equal(settings === undefined, problems.length > 0);
      }),
      {seed},
    );
  },
);
