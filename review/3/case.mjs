/**
 * The only archive of a zone restarts while the zone is cut off. Its ledger
 * lacks what was counted elsewhere while it was down, and it grants by itself.
 */
import {sleep} from '../lib/runner.mjs';
import {runCase, stride} from '../lib/site.mjs';

const folder = new URL('.', import.meta.url).pathname;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
/** Lengths of the disruptions: at most those of the site's list `troubles`. */
const cutMs = 5500;
const storeDownMs = 2800;
const frontDownMs = 3500;
const recoveryMs = 12_000;
const events = 8;
const most = events * stride;
const turnsInBudget = 4;
const budget = turnsInBudget * most;

await runCase({folder, zones, entriesPerZone: 2}, async (site, isTroubled) => {
  await site.start({events});
  const [entry, neighbour] = site.entries;
  const [archive] = site.archives;
  const answers = [];
  /** Sends turns of sub-agents, which continue the first turn. */
  const send = async (count, to) => {
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
  const [first] = await send(1, entry);
  if (first.status !== 200) throw new Error('the first turn was not served');
  await sleep(1500);
  const startMs = Date.now();
  const waitUntil = (ms) => sleep(Math.max(0, startMs + ms - Date.now()));
  if (isTroubled) await archive.kill();
  await waitUntil(300);
  await send(turnsInBudget - 1, entry);
  if (isTroubled) {
    await waitUntil(storeDownMs - 600);
    await entry.kill();
    const entryAtMs = Date.now() + frontDownMs;
    await site.cutZone(zones[0]);
    const cutAtMs = Date.now();
    await waitUntil(storeDownMs);
    archive.start();
    await sleep(1500);
    await send(turnsInBudget, neighbour);
    await sleep(Math.max(0, entryAtMs - Date.now()));
    entry.start();
    await sleep(Math.max(0, cutAtMs + cutMs - Date.now()));
    await site.heal();
    await sleep(recoveryMs);
  }
  await site.waitUntilReady(site.entries);
  for (const to of site.entries) await send(1, to);
  const tokens = answers.reduce((sum, {events: got}) => sum + got * stride, 0);
  const limit = budget + most;
  return {
    isBroken: tokens > limit,
    text: `${tokens} tokens were handed out; the budget and the most of one turn are ${limit}`,
  };
});
