/** Steps for a disk that is lost while reservations are under way. */
import {When, type World} from '@cucumber/cucumber';
import {type ArchiveFleet} from '../fixtures/archive_fleet.js';
import {createTokenRequest} from '../fixtures/turn_requests.js';

interface EmptiedWorld extends World {
  archives: ArchiveFleet;
  admitted: number;
}

When(
  'an attempt {string} of {int} tokens of a program of {string} starts in {string} on a budget of {int}',
  function (
    this: EmptiedWorld,
    attempt: string,
    tokens: number,
    home: string,
    dataCentre: string,
    budgetTokens: number,
  ) {
    const request = createTokenRequest(attempt, tokens, budgetTokens, home);
    const reserved = this.archives.getStore(dataCentre).reserve(request);
    // A refusal is an end as well.
    reserved.then(
      () => (this.admitted += 1),
      () => undefined,
    );
  },
);

When(
  'archive {string} loses its disk and is back after {int} ms',
  async function (this: EmptiedWorld, name: string, downMs: number) {
    const {archives} = this;
    archives.kill(name);
    archives.getFolder(name).wipe();
    await archives.clock.advance(downMs);
    await archives.start(name);
  },
);

When(
  'data centre {string} is cut off, which no entry VM has noticed',
  function (this: EmptiedWorld, dataCentre: string) {
    this.archives.cutOff = dataCentre;
  },
);
