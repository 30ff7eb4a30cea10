/**
 * A status request that crashes each runner that begins to run it. It comes
 * again every 3 s with the same path and without a body, at any machine, as the
 * call of a program that has been started anew.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Site} from '../lib2/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** For comparison: all requests belong to one program. */
const hasOneProgram = process.env.PROGRAM === 'one';
const poisonPath = '/slot/7c?pitch=41';
const intervalMs = 3000;
const requests = 16;
const deadlineMs = 1200;
const restartMs = 2500;
/** Three heartbeats of silence, after which the entry is removed. */
const expiryMs = 3600;
const contactS = 3;
const maxLateRuns = 3;

const site = new Site(fileURLToPath(new URL('record.txt', import.meta.url)));
const crashes = [];
const statuses = [];
let nextId = 0;

function watch(runner) {
  runner.crashes = ({path}) => hasTrouble && path === poisonPath;
  runner.onCrash = async ({id}) => {
    crashes.push(site.nowS);
    site.log(`crash ${crashes.length} of ${runner.id} by ${id}`);
    setTimeout(() => site.store.remove('servers', runner.id), expiryMs);
    await pause(restartMs);
    if (!isOver) watch(await site.addRunner(false, site.runners.length));
  };
}

/** An idempotent request with one retry, each over a new connection. */
async function sendStatus(label, path, program, vms) {
  const startMs = performance.now();
  let last;
  for (let attempt = 0; attempt < 2; attempt++) {
    const vm = vms[(nextId + attempt) % vms.length];
    const answer = await site.send(vm, {
      id: `${label}-${(nextId++).toString(16)}`,
      target: path,
      method: 'GET',
      deadlineMs: Math.round(deadlineMs - (performance.now() - startMs)),
      headers: {
        'X-Program-Id': program,
        'X-Session-Id': program,
        'X-Finish-Ms': '8000',
      },
    });
    last = answer;
    const isFinal = [200, 400, 401, 404, 413, 431].includes(answer.status);
    const leftMs = deadlineMs - (performance.now() - startMs);
    if (isFinal || leftMs < 100) break;
  }
  return last;
}

let isOver = false;
let code = 2;
try {
  await site.start({entries: [0, 0, 1, 1, 2, 2], models: 1, services: 6});
  for (const runner of site.runners) watch(runner);
  await pause(3000);
  const vms = [...site.vms.values()].filter(({role}) => role === 'entry');
  let others = 0;
  let whole = 0;
  const sendOthers = async () => {
    while (!isOver) {
      others += 1;
      const program = `q${others}`;
      const answer = await sendStatus('other', `/slot/${others}`, program, vms);
      if (answer.status === 200) whole += 1;
      await pause(200);
    }
  };
  const background = sendOthers();
  for (let request = 0; request < requests; request++) {
    const program = hasOneProgram ? 'p0' : `p${request}`;
    const answer = await sendStatus('poison', poisonPath, program, vms);
    statuses.push(answer.status);
    await pause(intervalMs);
  }
  isOver = true;
  await background;
  const third = crashes[2];
  const late = site.runs.filter(
    ({path, atS}) =>
      path === poisonPath && atS > (third ?? Infinity) + contactS,
  );
  const text =
    `${crashes.length} crashes, the third at ${third?.toFixed(1)} s; ` +
    `${late.length} runs later than ${contactS} s after it; ` +
    `last answers ${statuses.slice(-5)}; others ${whole} of ${others} served`;
  site.log(text);
  console.log(text);
  code = late.length > maxLateRuns ? 1 : 0;
} catch (error) {
  site.log(`failed: ${error.stack}`);
  console.log(error);
} finally {
  isOver = true;
  await site.stop();
}
process.exit(code);
