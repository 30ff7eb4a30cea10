/** Steps for the work that a target has left. */
import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {type BacklogEntry, TargetBacklog} from '@marigoldpost/dispatch';

interface BacklogWorld extends World {
  backlog: TargetBacklog;
  backlogNowMs: number;
}

When('a backlog sees {string}', function (this: BacklogWorld, events: string) {
  this.backlog = TargetBacklog.create();
  this.backlogNowMs = 1000;
  const entries = new Map<string, BacklogEntry>();
  for (const event of events.split(', ')) {
    const [name, first = '', second] = event.split(' ');
    if (name === 'wait') this.backlogNowMs += Number(first);
    if (name === 'add') {
      const entry = this.backlog.add(Number(second), this.backlogNowMs);
      entries.set(first, entry);
    }
    const removed = name === 'remove' ? entries.get(first) : undefined;
    if (removed !== undefined) this.backlog.remove(removed);
  }
});

Then(
  'the backlog has {int} ms left',
  function (this: BacklogWorld, leftMs: number) {
    assert.equal(this.backlog.getRemainingMs(this.backlogNowMs), leftMs);
  },
);
