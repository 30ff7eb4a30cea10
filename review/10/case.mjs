/**
 * A program that loops without end, with a budget of ten thousand million tokens,
 * sends its turns to the entry VMs of one zone. Lines of other programs arrive
 * there from their first turn in another zone.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Site} from '../lib2/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Without the disruption, the budget is as good as unlimited as well. */
const loopBudget = hasTrouble ? '10000000000' : '4000000000';
const loopTurns = 4;
/** Clients that send first turns only, through the other two zones. */
const starters = 18;
const models = 8;
const programs = 10;
const trafficMs = 40_000;
const deadlineMs = 4000;
const resends = 3;
const slots = 16;

const site = new Site(fileURLToPath(new URL('record.txt', import.meta.url)));
/** First turns are counted by attempt, those of the loop included. */
const counts = {first: 0, firstWhole: 0, next: 0, loop: 0, loopWhole: 0};
const lost = [];
let isOver = false;
let nextId = 0;
let mostActive = 0;

function send(vm, program, budget, previous, leftMs) {
  const active = site.runners.reduce((sum, runner) => sum + runner.active, 0);
  mostActive = Math.max(mostActive, active);
  return site.send(vm, {
    id: `${program}-${(nextId++).toString(16)}`,
    target: '/season/4b',
    deadlineMs: leftMs,
    body: `input of ${program};`,
    headers: {
      'X-Program-Id': program,
      'X-Session-Id': program,
      'X-Finish-Ms': '60000',
      'X-Token-Budget': budget,
      'X-Token-Usage': '840,588',
      ...(previous === undefined ? {} : {'X-Previous-Turn': previous}),
    },
  });
}

/** Sends a turn as a client does: two attempts, each of three times. */
async function sendTurn(vms, program, budget, previous) {
  const tries = [];
  for (let resend = 0; resend < resends; resend++) {
    const endMs = performance.now() + deadlineMs;
    for (let attempt = 0; attempt < 2; attempt++) {
      const vm = vms[(nextId + resend + attempt) % vms.length];
      const leftMs = Math.round(endMs - performance.now());
      if (leftMs < 100) break;
      const answer = await send(vm, program, budget, previous, leftMs);
      tries.push(answer);
      const isWhole = answer.status === 200 && answer.isWhole;
      if (previous === undefined) {
        counts.first += 1;
        if (isWhole) counts.firstWhole += 1;
      }
      if (isWhole) return {answer, tries};
      const retryMs = Number(answer.headers['retry-after'] ?? 0) * 1000;
      await pause(Math.min(retryMs, (endMs - performance.now()) / 3));
    }
    await pause(100 + Math.random() * 300);
  }
  return {answer: undefined, tries};
}

async function start(index, vms) {
  for (let turn = 0; !isOver; turn++) {
    await sendTurn(vms, `f${index}.${turn}`, '9000');
  }
}

async function loop(vms) {
  while (!isOver) {
    counts.loop += 1;
    const {answer} = await sendTurn(vms, 'loop', loopBudget);
    if (answer !== undefined) counts.loopWhole += 1;
    await pause(20);
  }
}

async function runPrograms(worker, first, other) {
  for (let turn = 0; !isOver; turn++) {
    const program = `p${worker}.${turn}`;
    const {answer} = await sendTurn(first, program, '9000');
    if (answer === undefined) continue;
    counts.next += 1;
    const next = await sendTurn(other, program, '9000', answer.id);
    const ids = new Set(next.tries.map(({id}) => id));
    const ran = site.runs.some(({id}) => ids.has(id));
    if (ran || next.tries.length < 5) continue;
    const statuses = next.tries.map(({status}) => status);
    lost.push(program);
    site.log(
      `LOST: the turn after ${answer.id} reached no runner: ${statuses}`,
    );
  }
}

let code = 2;
try {
  await site.start({entries: [0, 0, 1, 1, 2, 2], models, services: 1});
  await pause(3000);
  const other = site.entriesOf(1);
  const loops = Array.from({length: loopTurns}, () => loop(other));
  const workers = Array.from({length: programs}, (_, worker) =>
    runPrograms(worker, site.entriesOf(worker % 2 === 0 ? 0 : 2), other),
  );
  const firsts = Array.from({length: starters}, (_, index) =>
    start(index, site.entriesOf(index % 2 === 0 ? 0 : 2)),
  );
  await pause(trafficMs);
  isOver = true;
  await Promise.all([...loops, ...workers, ...firsts]);
  const {first, firstWhole, next, loop: loopSent, loopWhole} = counts;
  const isJudged =
    next >= programs &&
    firstWhole >= 0.9 * first &&
    mostActive * 2 < models * slots;
  const text =
    `${lost.length} of ${next} turns that follow a whole one reached no runner; ` +
    `${firstWhole} of ${first} attempts at first turns served, the loop's included; ` +
    `${loopWhole} of ${loopSent} turns of the loop served; at most ${mostActive} of ${models * slots} slots taken`;
  site.log(text);
  console.log(text);
  if (isJudged) code = lost.length > 0 ? 1 : 0;
} catch (error) {
  site.log(`failed: ${error.stack}`);
  console.log(error);
} finally {
  isOver = true;
  await site.stop();
}
process.exit(code);
