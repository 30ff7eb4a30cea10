/**
 * A front is killed in the middle of streams whose runner sends them without a
 * length or chunks: they end at their clients as if they were whole.
 */
import {sleep} from '../lib/runner.mjs';
import {runCase} from '../lib/site.mjs';

const folder = new URL('.', import.meta.url).pathname;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
const events = 12;
const streams = 12;

await runCase({folder, zones, entriesPerZone: 2}, async (site, isTroubled) => {
  await site.start({events, pauseMs: 60, unframed: true});
  const [entry] = site.entries;
  const sent = Array.from({length: streams}, (_, index) =>
    site.turn(entry, {program: `p${index}`, budget: 4000, most: 300}),
  );
  await sleep(400);
  if (isTroubled) await entry.kill();
  const got = await Promise.all(sent);
  const short = got.filter(
    ({status, headers, isWhole, events: seen}) =>
      status === 200 &&
      headers['x-server-signature'] !== undefined &&
      isWhole &&
      seen < events,
  );
  const whole = got.filter(
    ({isWhole, events: seen}) => isWhole && seen === events,
  );
  return {
    isBroken: short.length > 0,
    text: `of ${streams} streams of ${events} events, ${whole.length} came whole and ${short.length} ended as complete before their last event`,
  };
});
