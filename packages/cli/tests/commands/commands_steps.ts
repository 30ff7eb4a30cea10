/** Steps for the command line. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {commands, exitCodes} from '@marigoldpost/cli';
import {OperationsFixture} from '../../../operations/tests/fixtures/operations_fixture.js';
import {type CommandWorld, runCommand} from './command_runner.js';

const programPath = 'packages/cli/bin/marigoldpost.js';

/** Runs the command line in a process of its own, as operators do. */
function spawnProgram(
  world: CommandWorld,
  args: readonly string[],
  environment: Record<string, string>,
): Promise<void> {
  const env = {...process.env, ...environment};
  const command = [programPath, ...args];
  return new Promise((resolve) => {
    const onEnd = (_error: Error | null, stdout: string, stderr: string) => {
      world.exitCode = child.exitCode ?? -1;
      world.stdout = stdout;
      world.stderr = stderr;
      resolve();
    };
    const child = execFile(process.execPath, command, {env}, onEnd);
  });
}

Given(
  'the example file {string} with {string} changed to {string}',
  async function (
    this: CommandWorld,
    path: string,
    original: string,
    replacement: string,
  ) {
    const text = readFileSync(path, 'utf8');
    assert.ok(text.includes(original));
    this.commandFolder = await mkdtemp(join(tmpdir(), 'marigoldpost-cli-'));
    this.commandFile = join(this.commandFolder, 'text.ini');
    await writeFile(this.commandFile, text.replace(original, replacement));
  },
);

Given(
  "an operators' server for the command line",
  async function (this: CommandWorld) {
    this.commandServer = await OperationsFixture.start();
  },
);

When(
  'the command line runs {string}',
  async function (this: CommandWorld, line: string) {
    const args = line.split(' ');
    const named = args.map((arg) =>
      arg === '{file}' ? this.commandFile : arg,
    );
    await runCommand(this, named);
  },
);

When(
  'operator {string} runs {string}',
  async function (this: CommandWorld, operator: string, line: string) {
    await runCommand(this, line.split(' '), {
      MARIGOLDPOST_DAEMON: this.commandServer?.origin ?? '',
      MARIGOLDPOST_OPERATOR_KEY: `${operator}-example-key`,
    });
  },
);

When(
  'operator {string} runs {string} without a server',
  async function (this: CommandWorld, operator: string, line: string) {
    const key = `${operator}-example-key`;
    const environment = {MARIGOLDPOST_OPERATOR_KEY: key};
    await spawnProgram(this, line.split(' '), environment);
  },
);

When(
  'a short experiment is run, compared and plotted from the command line',
  async function (this: CommandWorld) {
    this.commandFolder = await mkdtemp(join(tmpdir(), 'marigoldpost-cli-'));
    this.commandFile = join(this.commandFolder, 'runs.json');
    const plot = join(this.commandFolder, 'plot.svg');
    const choice =
      '--workload waikato --policy round-robin --policy marigoldpost';
    const length = '--seeds 1 --load 0.3 --duration-ms 60000';
    const lines = [
      `bench run ${choice} ${length} --output ${this.commandFile}`,
      `bench plot ${this.commandFile} --output ${plot}`,
      `bench compare ${this.commandFile} --json`,
    ];
    for (const line of lines) {
      await runCommand(this, line.split(' '));
      assert.equal(this.exitCode, 0, this.stderr);
    }
  },
);

Then(
  'the comparison has one row for each policy and the plot is SVG',
  function (this: CommandWorld) {
    const rows = JSON.parse(this.stdout) as {policy: string}[];
    const policies = rows.map(({policy}) => policy);
    assert.deepEqual(policies, ['round-robin', 'marigoldpost']);
    const plot = join(this.commandFolder ?? '', 'plot.svg');
    assert.match(readFileSync(plot, 'utf8'), /^<svg /);
  },
);

Then(
  'the command line exits with {int}',
  function (this: CommandWorld, code: number) {
    assert.equal(this.exitCode, code, this.stdout + this.stderr);
  },
);

Then(
  "the command line's output contains {string}",
  function (this: CommandWorld, expectedText: string) {
    const output = this.stdout + this.stderr;
    assert.ok(output.includes(expectedText), output);
  },
);

Then(
  "the command line's output is JSON with {string}",
  function (this: CommandWorld, field: string) {
    const value = JSON.parse(this.stdout) as object;
    assert.ok(Object.hasOwn(value, field), this.stdout);
  },
);

Then('docs\\/CLI.md lists every command and every exit code', function () {
  const page = readFileSync('docs/CLI.md', 'utf8');
  const rows = page.split('\n').filter((line) => line.startsWith('| '));
  const first = (row: string) => row.split('|')[1]?.trim() ?? '';
  const listed = rows.map(first);
  const names = Object.keys(commands).map((id) => id.replaceAll(':', ' '));
  const codes = Object.values(exitCodes);
  const expected = [
    ...names.map((name) => `\`${name}\``),
    ...codes.map(({code}) => String(code)),
  ];
  const isEntry = (cell: string) => /^(`[a-z ]+`|\d)$/.test(cell);
  assert.deepEqual(listed.filter(isEntry).toSorted(), expected.toSorted());
  for (const {code, meaning} of codes) {
    const row = rows.find((line) => first(line) === String(code));
    assert.ok(row?.includes(meaning), meaning);
  }
});

After(async function (this: CommandWorld) {
  await this.commandServer?.server.stop();
  if (this.commandFolder !== undefined) {
    await rm(this.commandFolder, {recursive: true});
  }
});
