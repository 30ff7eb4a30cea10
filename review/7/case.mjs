/**
 * All runners of the plain service crash at once and are back after 4.5 s. All the
 * while, clients that belong to no program ask for the same status, and programs
 * reserve the next free pitch, with bodies that are equal.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Site} from '../lib2/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Clients of each of the two kinds of request. */
const clients = 30;
const pollMs = 400;
const deadlineMs = 1200;
const downMs = 4500;
const expiryMs = 3600;
const beforeMs = 4000;
/** Time after the return of the runners in which answers are counted. */
const settleMs = 4000;
const countedMs = 15_000;

const site = new Site(fileURLToPath(new URL('record.txt', import.meta.url)));
let isOver = false;
let nextId = 0;
let all = 0;
const kinds = {
  status: {path: '/slot/4b', method: 'GET'},
  reserve: {
    path: '/reserve/next',
    method: 'POST',
    body: '{"pitch":"next free"}',
  },
};
const counts = {};
for (const kind of Object.keys(kinds)) {
  counts[kind] = {sent: 0, whole: 0, denied: 0, statuses: new Map()};
}
let isCounting = false;

async function poll(kind, index, vms) {
  const {path, method, body} = kinds[kind];
  await pause((pollMs * index) / clients);
  while (!isOver) {
    all += 1;
    const isCounted = isCounting;
    const id = `${kind}-${(nextId++).toString(16)}`;
    const program = {'X-Program-Id': `p${id}`, 'X-Finish-Ms': '8000'};
    // The platform chooses the entry VM of a new connection.
    const answer = await site.send(vms[nextId % vms.length], {
      id,
      target: path,
      method,
      body,
      deadlineMs,
      headers: kind === 'reserve' ? program : {},
    });
    if (isCounted) count(counts[kind], answer);
    await pause(pollMs - Math.min(pollMs, answer.tookMs));
  }
}

function count(counted, {status}) {
  counted.sent += 1;
  counted.statuses.set(status, (counted.statuses.get(status) ?? 0) + 1);
  if (status === 200) counted.whole += 1;
  const isPromise = [408, 421, 429].includes(status);
  if (status >= 300 && status < 500 && !isPromise) counted.denied += 1;
}

/** Whether each runner works on a request of each kind. */
function areAllBusy(runners) {
  return runners.every(({activeByPath}) =>
    Object.values(kinds).every(({path}) => (activeByPath.get(path) ?? 0) > 0),
  );
}

async function crashAll() {
  const runners = site.runners.filter(({isModel}) => !isModel);
  const endMs = performance.now() + 3000;
  while (performance.now() < endMs && !areAllBusy(runners)) await pause(1);
  site.log(
    `crash of ${runners.map(({id, active}) => `${id} (${active} runs)`)}`,
  );
  for (const runner of runners) {
    runner.close();
    setTimeout(() => site.store.remove('servers', runner.id), expiryMs);
  }
  await pause(downMs);
  for (const runner of runners) {
    const back = await site.addRunner(false, site.runners.length);
    back.workMs = runner.workMs;
  }
  site.log('the runners are back');
}

let code = 2;
try {
  await site.start({entries: [0, 0, 1, 1, 2, 2], models: 1, services: 3});
  for (const runner of site.runners) runner.workMs = 50;
  await pause(3000);
  const vms = [...site.vms.values()].filter(({role}) => role === 'entry');
  const polls = Object.keys(kinds).flatMap((kind) =>
    Array.from({length: clients}, (_, index) => poll(kind, index, vms)),
  );
  await pause(beforeMs);
  if (hasTrouble) await crashAll();
  else await pause(downMs);
  await pause(settleMs);
  isCounting = true;
  await pause(countedMs);
  isOver = true;
  await Promise.all(polls);
  let denied = 0;
  for (const [kind, counted] of Object.entries(counts)) {
    const {sent, whole, statuses} = counted;
    denied += counted.denied;
    const text =
      `${kind}: ${whole} of ${sent} served from ${settleMs / 1000} s after the ` +
      `return on; ${counted.denied} refused with a 4xx; statuses ` +
      [...statuses].map(([status, times]) => `${status}: ${times}`).join(', ');
    site.log(text);
    console.log(text);
  }
  code = denied > 5 + all / 500 ? 1 : 0;
} catch (error) {
  site.log(`failed: ${error.stack}`);
  console.log(error);
} finally {
  isOver = true;
  await site.stop();
}
process.exit(code);
