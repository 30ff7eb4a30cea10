/**
 * Turns are answered whole in a zone that is cut off, so they lie on one disk;
 * that disk, the only one that is lost, takes the turns with it.
 */
import {sleep} from '../lib/runner.mjs';
import {runCase} from '../lib/site.mjs';

const folder = new URL('.', import.meta.url).pathname;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
/** Lengths of the disruptions: at most those of the site's list `troubles`. */
const cutMs = 5500;
const downMs = 2000;
/** `CatchupS` and `RecoveryS` of the site. */
const backMs = 4900 + 12_000;

await runCase({folder, zones, entriesPerZone: 2}, async (site, isTroubled) => {
  await site.start();
  const [entry] = site.entries;
  const [archive] = site.archives;
  const first = await site.turn(entry, {program: 'p'});
  if (first.status !== 200) throw new Error('the first turn was not served');
  if (isTroubled) await site.cutZone(zones[0]);
  const cutAtMs = Date.now();
  await sleep(500);
  const sent = Array.from({length: 12}, (_, index) =>
    site.turn(entry, {program: `p${index}`}),
  );
  const turns = await Promise.all(sent);
  const whole = turns.filter(({status, isWhole}) => status === 200 && isWhole);
  site.log(`${whole.length} of ${turns.length} turns were answered whole`);
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
  await sleep(isTroubled ? backMs : 1000);
  const results = await Promise.all(
    whole.map(({id}, index) =>
      site.turn(site.entries[index % site.entries.length], {
        program: `p${turns.findIndex((turn) => turn.id === id)}`,
        previous: id,
      }),
    ),
  );
  const unknown = results.filter(
    ({status}) => status === 404 || status === 410,
  );
  const served = results.filter(({status}) => status === 200);
  return {
    isBroken: unknown.length > 0,
    text: `of ${whole.length} turns that were answered whole, ${served.length} could be continued, ${unknown.length} were called unknown`,
  };
});
