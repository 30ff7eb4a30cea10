/**
 * Two disks are lost one after the other, long after `CatchupS`. Turns with
 * large inputs are not copied again after the first loss.
 */
import {sleep} from '../lib/runner.mjs';
import {runCase} from '../lib/site.mjs';

const folder = new URL('.', import.meta.url).pathname;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
const downMs = 2000;
/** `CatchupS` and `RecoveryS` of the site. */
const backMs = 4900 + 12_000;
const largeTurns = Number(process.env.LARGE_TURNS ?? 140);
/** A seventh of `MaxBodyBytes`: about 120,000 tokens of text. */
const largeBytes = Number(process.env.LARGE_BYTES ?? 600_000);
const smallTurns = 20;
const atATime = 4;

await runCase({folder, zones}, async (site, isTroubled) => {
  await site.start({events: 3, pauseMs: 20});
  const [entryA, ...otherEntries] = site.entries;
  const [archiveA, archiveB] = site.archives;
  const inputs = Array.from({length: largeTurns + smallTurns}, (_, index) =>
    index < largeTurns ? `${'x'.repeat(largeBytes - 1)}\n` : 'small\n',
  );
  const whole = [];
  while (inputs.length > 0) {
    const sent = inputs.splice(0, atATime).map(async (input, index) => {
      const program = `p${inputs.length + index}`;
      const {id, status, isWhole} = await site.turn(entryA, {program, input});
      const isLarge = input.length > 100;
      if (status === 200 && isWhole) whole.push({id, program, isLarge});
    });
    await Promise.all(sent);
  }
  site.log(`${whole.length} turns were answered whole`);
  await sleep(2000);
  const loseDisk = async (archive) => {
    if (!isTroubled) return;
    await archive.kill();
    archive.loseDisk();
    await sleep(downMs);
    archive.start();
    await sleep(backMs);
  };
  await loseDisk(archiveB);
  await loseDisk(archiveA);
  const results = [];
  for (const [index, {id, program, isLarge}] of whole.entries()) {
    const entry = otherEntries[index % otherEntries.length];
    const got = await site.turn(entry, {program, previous: id});
    results.push({status: got.status, isLarge});
  }
  const count = (isLarge) =>
    results.filter(
      (result) =>
        result.isLarge === isLarge && [404, 410].includes(result.status),
    ).length;
  const served = results.filter(({status}) => status === 200).length;
  return {
    isBroken: count(true) + count(false) > 0,
    text: `of ${whole.length} turns that were answered whole, ${served} could be continued; ${count(true)} large and ${count(false)} small ones were called unknown`,
  };
});
