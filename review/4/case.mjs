/**
 * A program spends its budget in a zone that is cut off, where one disk counts
 * it; that disk, the only one that is lost, takes the count with it.
 */
import {sleep} from '../lib/runner.mjs';
import {runCase, stride} from '../lib/site.mjs';

const folder = new URL('.', import.meta.url).pathname;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
/** Lengths of the disruptions: at most those of the site's list `troubles`. */
const cutMs = 5500;
const downMs = 2000;
/** `CatchupS` and `RecoveryS` of the site. */
const backMs = 4900 + 12_000;
const events = 8;
const most = events * stride;
const turnsInBudget = 4;
const budget = turnsInBudget * most;

await runCase({folder, zones, entriesPerZone: 2}, async (site, isTroubled) => {
  await site.start({events});
  const [entry] = site.entries;
  const [archive] = site.archives;
  const answers = [];
  /** Sends turns of sub-agents, which continue the first turn. */
  const send = async (count, to = entry) => {
    const previous = answers[0]?.id;
    const sent = Array.from({length: count}, () =>
      site.turn(to, {
        program: 'program',
        session: site.createId(),
        previous,
        budget,
        most,
      }),
    );
    const got = await Promise.all(sent);
    answers.push(...got);
    return got;
  };
  // The program begins before the cut, and has most of its budget left.
  const [first] = await send(1);
  if (first.status !== 200) throw new Error('the first turn was not served');
  if (isTroubled) await site.cutZone(zones[0]);
  const cutAtMs = Date.now();
  await sleep(500);
  await send(turnsInBudget - 1);
  if (isTroubled) {
    await sleep(Math.max(0, cutAtMs + 3000 - Date.now()));
    await Promise.all([entry.kill(), archive.kill()]);
    archive.loseDisk();
    await sleep(downMs);
    archive.start();
    entry.start();
    await sleep(Math.max(0, cutAtMs + cutMs - Date.now()));
    await site.heal();
  }
  await site.waitUntilReady(site.entries);
  await sleep(isTroubled ? backMs : 1500);
  for (const to of site.entries) {
    for (let turn = 0; turn < turnsInBudget; turn += 1) await send(1, to);
  }
  const tokens = answers.reduce((sum, {events: got}) => sum + got * stride, 0);
  const limit = budget + most;
  return {
    isBroken: tokens > limit,
    text: `${tokens} tokens were handed out; the budget and the most of one turn are ${limit}`,
  };
});
