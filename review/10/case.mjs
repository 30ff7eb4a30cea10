/**
 * Clients that read a turn's answer slowly, pause for less than its retention
 * and go on through another zone.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Site} from '../lib2/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const programs = 40;
const startSpreadMs = 6000;
const retentionMs = 60_000;
const pauseMs = 58_900;
const deadlineMs = 4000;
const finishMs = 110_000;
/** The client takes 32 bytes at a time: about 3 s for the whole answer. */
const slowReadMs = 230;

const site = new Site(fileURLToPath(new URL('record.txt', import.meta.url)));
const results = [];

function sendTurn(index, label, vm, previous, slow) {
  return site.send(vm, {
    id: `${label}${index}`,
    target: '/season/4b',
    deadlineMs,
    body: `input of ${label}${index};`,
    slowReadMs: slow,
    headers: {
      'X-Program-Id': `p${index}`,
      'X-Session-Id': `s${index}`,
      'X-Finish-Ms': String(finishMs),
      'X-Token-Budget': '20000',
      'X-Token-Usage': '840,588',
      ...(previous === undefined ? {} : {'X-Previous-Turn': previous}),
    },
  });
}

async function runProgram(index) {
  await pause((startSpreadMs * index) / programs);
  const slow = hasTrouble ? slowReadMs : undefined;
  const vms = site.entriesOf(0);
  const first = await sendTurn(index, 'first', vms[index % 2], undefined, slow);
  const endMs = performance.now();
  if (first.status !== 200 || !first.isWhole) return;
  await pause(pauseMs);
  const others = site.entriesOf(1);
  const next = await sendTurn(index, 'next', others[index % 2], first.id);
  const sinceMs = Math.round(performance.now() - endMs);
  const {status} = next;
  results.push({index, status, sinceMs, tookMs: first.tookMs});
}

let code = 2;
try {
  await site.start({entries: [0, 0, 1, 1, 2, 2], models: 4});
  await pause(3000);
  await Promise.all(
    Array.from({length: programs}, (_, index) => runProgram(index)),
  );
  const lost = results.filter(
    ({status, sinceMs}) =>
      (status === 404 || status === 410) && sinceMs < retentionMs,
  );
  for (const {index, status, sinceMs, tookMs} of lost) {
    site.log(
      `LOST: next${index} answered ${status} ${sinceMs} ms after the end of ` +
        `first${index}, which took ${tookMs} ms`,
    );
  }
  const text = `${lost.length} of ${results.length} turns answered 404 within the retention`;
  site.log(text);
  console.log(text);
  if (results.length >= programs / 2) code = lost.length > 0 ? 1 : 0;
} catch (error) {
  site.log(`failed: ${error.stack}`);
  console.log(error);
} finally {
  await site.stop();
}
process.exit(code);
