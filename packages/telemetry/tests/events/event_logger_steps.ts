/** Steps for the event logger and the event catalogue. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {type DaemonId, type ProgramId, toId} from '@marigoldpost/common';
import {
  eventCatalogue,
  type EventLevel,
  EventLogger,
} from '@marigoldpost/telemetry';

interface LoggerWorld extends World {
  logger: EventLogger;
  lines: Record<string, unknown>[];
}

const finishedCall = {
  team: 'planners',
  service: 'plan-models',
  durationMs: 12,
  isDurable: true,
};

Given(
  'an event logger at level {string}',
  function (this: LoggerWorld, level: EventLevel) {
    this.lines = [];
    this.logger = EventLogger.create({
      level,
      daemon: toId<DaemonId>('entry-1'),
      destination: {
        write: (line) => {
          this.lines.push(JSON.parse(line) as Record<string, unknown>);
        },
      },
    });
  },
);

When(
  'the event logger logs a finished call of program {string}',
  function (this: LoggerWorld, program: string) {
    const logger = this.logger.withContext({program: toId<ProgramId>(program)});
    logger.log('call_finished', finishedCall);
  },
);

When(
  'the event logger logs one event of each level',
  function (this: LoggerWorld) {
    this.logger.log('caller_gone', {team: 'planners', service: 'quay-ops'});
    this.logger.log('tls_reloaded', {});
    this.logger.log('platform_lost', {kind: 'store_unavailable'});
    this.logger.log('tls_reload_failed', {message: 'no such file'});
  },
);

Then(
  'the event log holds one line with event {int}, program {string} and service {string}',
  function (
    this: LoggerWorld,
    event: number,
    program: string,
    service: string,
  ) {
    assert.equal(this.lines.length, 1);
    const line = this.lines[0];
    assert.equal(line?.['event'], event);
    assert.equal(line?.['name'], 'call_finished');
    assert.equal(line?.['program'], program);
    assert.equal(line?.['service'], service);
    assert.equal(line?.['daemon'], 'entry-1');
  },
);

Then(
  'the event log holds {int} lines',
  function (this: LoggerWorld, count: number) {
    assert.equal(this.lines.length, count);
  },
);

Then(
  'every event of the catalogue has a unique number and a unique message',
  function () {
    const events = Object.values(eventCatalogue);
    const numbers = new Set(events.map((event) => event.number));
    const messages = new Set(events.map((event) => event.message));
    assert.equal(numbers.size, events.length);
    assert.equal(messages.size, events.length);
  },
);

Then(
  'the documentation of events lists exactly the events of the catalogue',
  function () {
    const page = readFileSync('docs/EVENTS.md', 'utf8');
    const rows = page.split('\n').filter((line) => /^\| \d/.test(line));
    const cells = rows.map((row) =>
      row
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
    const expected = Object.entries(eventCatalogue).map(([name, event]) => [
      String(event.number),
      `\`${name}\``,
      event.level,
      event.message,
      Object.entries(event.fields)
        .map(([field, type]) => `\`${field}\` ${type}`)
        .join(', '),
    ]);
    assert.deepEqual(cells, expected);
  },
);
