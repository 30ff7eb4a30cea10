/** Steps for background tasks. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, toId, VirtualClock} from '@marigoldpost/common';
import {BackgroundTasks} from '@marigoldpost/nodes';
import {EventLogger} from '@marigoldpost/telemetry';

interface TasksWorld extends World {
  clock: VirtualClock;
  tasks: BackgroundTasks;
  starts: number;
  lines: string[];
}

const task = 'example';

When(
  /^a (required )?background task rejects (\d+) times and then (runs|ends)$/,
  async function (
    this: TasksWorld,
    required: string | null,
    rejections: string,
    outcome: string,
  ) {
    this.clock = VirtualClock.create();
    this.starts = 0;
    this.lines = [];
    const logger = EventLogger.create({
      level: 'error',
      daemon: toId<DaemonId>('entry-0'),
      destination: {write: (line) => this.lines.push(line)},
    });
    this.tasks = BackgroundTasks.create(logger, this.clock);
    const work = async (signal: AbortSignal) => {
      this.starts += 1;
      if (this.starts <= Number(rejections)) throw new Error('rejected');
      if (outcome === 'runs') await this.clock.sleep(1_000_000, signal);
    };
    this.tasks.run(task, work, {isRequired: required !== null});
    await this.clock.advance(1);
  },
);

When('the process of the background task stops', function (this: TasksWorld) {
  this.tasks.stop();
});

When(
  '{int} ms pass for the background task',
  async function (this: TasksWorld, elapsedMs: number) {
    await this.clock.advance(elapsedMs);
  },
);

Then(
  /^it has been started (\d+) times and is (not )?shown as failed$/,
  function (this: TasksWorld, starts: string, not: string | null) {
    assert.equal(this.starts, Number(starts));
    assert.deepEqual(this.tasks.failedTasks, not === null ? [task] : []);
  },
);

Then(
  '{int} failures of the background task are logged',
  function (this: TasksWorld, count: number) {
    const failures = this.lines.filter((line) =>
      line.includes('background_failed'),
    );
    assert.equal(failures.length, count);
  },
);
