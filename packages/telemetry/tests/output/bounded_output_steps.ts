/** Steps for the bounded log output. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {BoundedOutput} from '@marigoldpost/telemetry';

interface OutputWorld extends World {
  output: BoundedOutput;
  nowMs: number;
  written: number;
  report: {elapsedMs: number; dropped: number};
}

/**
 * Logs 1000 lines in each second of its own clock, then reports the elapsed
 * time and the number of dropped lines.
 */
const program = `
  import {BoundedOutput} from '@marigoldpost/telemetry';
  let second = 0;
  const output = BoundedOutput.createForStdout(() => second * 1000);
  const line = 'x'.repeat(999) + '\\n';
  const start = performance.now();
  for (second = 0; second < 4; second++) {
    for (let count = 0; count < 1000; count++) output.write(line);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const elapsedMs = performance.now() - start;
  process.stderr.write(JSON.stringify({elapsedMs, dropped: output.takeDropped()}));
`;

Given('a bounded output', function (this: OutputWorld) {
  this.nowMs = 0;
  this.written = 0;
  this.output = BoundedOutput.create({
    sink: {
      write: () => {
        this.written += 1;
      },
    },
    nowMs: () => this.nowMs,
  });
});

Given(
  'a process whose log output is not read',
  async function (this: OutputWorld) {
    const child = spawn(
      process.execPath,
      ['--input-type=module', '-e', program],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    // Standard output is not read, so its pipe fills up.
    let text = '';
    child.stderr.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      // Its last write blocks on the full pipe, so it cannot exit by itself.
      child.kill('SIGKILL');
    });
    await new Promise((resolve) => child.once('exit', resolve));
    this.report = JSON.parse(text) as OutputWorld['report'];
  },
);

When(
  '{int} lines are logged within a second',
  function (this: OutputWorld, count: number) {
    writeLines(this, count);
  },
);

When(
  'a second passes and {int} more lines are logged',
  function (this: OutputWorld, count: number) {
    this.nowMs += 1000;
    writeLines(this, count);
  },
);

Then(
  '{int} lines are written and {int} are counted as dropped',
  function (this: OutputWorld, passed: number, dropped: number) {
    assert.equal(this.written, passed);
    assert.equal(this.output.takeDropped(), dropped);
  },
);

Then(
  'the process logs 4 megabytes of lines in under {int} ms',
  function (this: OutputWorld, withinMs: number) {
    assert.ok(this.report.elapsedMs < withinMs);
  },
);

Then('it counts dropped lines', function (this: OutputWorld) {
  assert.ok(this.report.dropped > 0);
});

function writeLines({output}: OutputWorld, count: number): void {
  for (let index = 0; index < count; index++) output.write('line\n');
}
