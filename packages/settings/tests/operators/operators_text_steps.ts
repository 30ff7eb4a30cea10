/** Steps for the operators' configuration. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {isErrorOfKind, type TeamId, toId} from '@marigoldpost/common';
import fc from 'fast-check';
import {
  parseDaemonSettings,
  parseOperatorsText,
  readOperatorsText,
  renderTextProblem,
  setTeamApproval,
} from '@marigoldpost/settings';

interface TextWorld extends World {
  original: string;
  text: string;
  changedLine: number;
}

const seed = 20261203;

Given(
  "the operators' configuration of {string}",
  function (this: TextWorld, user: string) {
    this.original = readFileSync(`examples/${user}/operators.ini`, 'utf8');
    this.text = this.original;
  },
);

When(
  "{string} of the operators' configuration becomes {string}",
  function (this: TextWorld, found: string, changed: string) {
    const start = this.text.indexOf(found);
    assert.ok(start >= 0, `${found} is not in the text`);
    const written = changed.replace('\\n', '\n');
    const addedLines = written.split('\n').length - 1;
    this.changedLine =
      this.text.slice(0, start).split('\n').length + addedLines;
    this.text = this.text.replace(found, written);
  },
);

When(
  "the operators' configuration has team {string} approved {string}",
  function (this: TextWorld, team: string, approved: string) {
    this.text = setTeamApproval(this.text, team, approved === 'yes');
  },
);

Then(
  "the operators' configuration has {int} data centres, {int} engine targets and {int} plain targets",
  function (this: TextWorld, centres: number, engines: number, plain: number) {
    const {dataCentres, services} = parseOperatorsText(this.text);
    const countTargets = (kind: string) =>
      [...services.values()]
        .filter((service) => service.kind === kind)
        .reduce((sum, service) => sum + service.targets.length, 0);
    assert.equal(dataCentres.size, centres);
    assert.equal(countTargets('engine'), engines);
    assert.equal(countTargets('plain'), plain);
  },
);

Then(
  "the plain services of the operators' configuration are not idempotent",
  function (this: TextWorld) {
    for (const service of parseOperatorsText(this.text).services.values()) {
      if (service.kind === 'plain') assert.equal(service.isIdempotent, false);
    }
  },
);

Then(
  'the {int} daemon settings of {string} name its data centres',
  function (this: TextWorld, count: number, user: string) {
    const {dataCentres} = parseOperatorsText(this.text);
    const folder = `examples/${user}/daemons`;
    const all = readdirSync(folder).map((file) =>
      parseDaemonSettings(readFileSync(`${folder}/${file}`, 'utf8')),
    );
    assert.equal(new Set(all.map(({name}) => name)).size, count);
    assert.equal(new Set(all.map(({peerHost}) => peerHost)).size, count);
    for (const {dataCentre} of all) assert.ok(dataCentres.has(dataCentre));
  },
);

Then(
  "the operators' configuration has a problem at the changed line with key {string} that says {string}",
  function (this: TextWorld, key: string, message: string) {
    const {problems, config} = readOperatorsText(this.text);
    assert.equal(config, undefined);
    const shown = problems.map(renderTextProblem).join('\n');
    const found = problems.filter(
      (problem) =>
        (problem.key ?? '') === key &&
        renderTextProblem(problem).includes(message.replaceAll('\\"', '"')),
    );
    assert.ok(found.length > 0, shown);
    // A problem is reported at the line of its key, which may be next to the
    // changed line.
    const lines = found.map(({line}) => line);
    const isNear = lines.some((line) => Math.abs(line - this.changedLine) <= 1);
    assert.ok(isNear, `${this.changedLine}: ${shown}`);
  },
);

Then(
  "reading the operators' configuration throws {string} with at least {int} lines of problems",
  function (this: TextWorld, kind: string, count: number) {
    assert.throws(
      () => parseOperatorsText(this.text),
      (error) => {
        assert.ok(isErrorOfKind(error));
        assert.equal(error.kind, kind);
        const lines = error.message.match(/^line \d+: /gm) ?? [];
        assert.ok(lines.length >= count, error.message);
        return true;
      },
    );
  },
);

Then(
  "any text is either parsed as an operators' configuration or has problems with line numbers",
  function () {
    const example = readFileSync('examples/waikato/operators.ini', 'utf8');
    const lines = example.split('\n');
    const line = fc.oneof(fc.constantFrom(...lines), fc.string());
    const text = fc.array(line, {maxLength: 60}).map((all) => all.join('\n'));
    fc.assert(
      fc.property(fc.oneof(text, fc.string({unit: 'binary'})), (candidate) => {
        const {problems, config} = readOperatorsText(candidate);
        assert.equal(config === undefined, problems.length > 0);
        const lineCount = candidate.split('\n').length;
        for (const problem of problems) {
          assert.ok(problem.line >= 1 && problem.line <= lineCount);
        }
      }),
      {seed, numRuns: 300},
    );
  },
);

Then(
  "the operators' configuration differs in {int} line and team {string} is approved {string}",
  function (this: TextWorld, count: number, team: string, approved: string) {
    const before = this.original.split('\n');
    const after = this.text.split('\n');
    assert.equal(after.length, before.length);
    const differing = after.filter((line, index) => line !== before[index]);
    assert.equal(differing.length, count);
    const {teams} = parseOperatorsText(this.text);
    assert.equal(teams.get(toId<TeamId>(team))?.isApproved, approved === 'yes');
  },
);

Then(
  "approving team {string} in the operators' configuration throws {string} with {string}",
  function (this: TextWorld, team: string, kind: string, nearest: string) {
    assert.throws(
      () => setTeamApproval(this.text, team, true),
      (error) => {
        assert.ok(isErrorOfKind(error));
        assert.equal(error.kind, kind);
        assert.ok(error.message.includes(`did you mean "${nearest}"`));
        return true;
      },
    );
  },
);
