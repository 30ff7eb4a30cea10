/** Starts a small deployment of the project's programs on loopback addresses. */
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
/** Exit code of a script that could not run. */
const couldNotRun = 2;
const zones = ['nz-north-a', 'nz-north-b', 'nz-north-c'];
const host = 'site.example';
/** Bytes that a client that reads slowly takes at a time. */
const slowReadBytes = 32;

/** Gets the `run` line of a role of the deploy file. */
function getRunLine(role) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const part = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]*)"/.exec(part)[1].split(' ');
}

async function isFree(address, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

/** Configuration like that of the site file, with one route of each kind. */
export function createConfig(version, changes = {}) {
  const common = {Host: host, SloMs: 200, Priority: 0};
  const turns = {Kind: 'streaming', Service: 'agent-llm', Attempts: 2};
  return {
    Version: version,
    Routes: [
      {
        ...common,
        ...turns,
        Name: 'season-planning',
        PathPrefix: '/season/',
        TimeoutMs: 4000,
        Retained: true,
        RetentionS: 60,
        Sticky: true,
        GapSloMs: 300,
        ...changes.turns,
      },
      {
        ...common,
        Name: 'slot-check',
        PathPrefix: '/slot/',
        Kind: 'idempotent',
        TimeoutMs: 1200,
        Service: 'booking-app',
        Attempts: 2,
      },
      {
        ...common,
        Name: 'pitch-reserve',
        PathPrefix: '/reserve/',
        Kind: 'non_idempotent',
        TimeoutMs: 2000,
        Service: 'booking-app',
        Attempts: 1,
      },
      ...(changes.routes ?? []),
    ],
    Services: [
      {
        Name: 'agent-llm',
        MaxConns: 180,
        Engine: {Slots: 16, KvCacheTokens: 584_860, Stride: 21},
      },
      {Name: 'booking-app', MaxConns: 110},
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** Reads a few bytes of a response at a time. */
function readSlowly(response, chunks, pauseMs) {
  const timer = setInterval(() => {
    const chunk = response.read(slowReadBytes) ?? response.read();
    if (chunk !== null) chunks.push(chunk);
  }, pauseMs);
  response.on('readable', () => undefined);
  response.once('close', () => clearInterval(timer));
}

/** Store, runners, entry VMs and archive VMs in three zones. */
export class Site {
  store = new Store();
  runners = [];
  vms = new Map();
  runs = [];
  #net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  #folder = mkdtempSync(path.join(tmpdir(), 'marigoldpost-review-'));
  #nextHost = 10;
  #startMs = performance.now();

  constructor(recordPath) {
    this.record = createWriteStream(recordPath);
    // Node.js would exit with 1, which stands for a broken rule.
    const fail = (error) => {
      process.stderr.write(`${error.stack}\n`);
      for (const vm of this.vms.values()) vm.process?.kill('SIGKILL');
      process.exit(couldNotRun);
    };
    process.on('uncaughtException', fail);
    process.on('unhandledRejection', fail);
    process.once('SIGTERM', () => fail(new Error('stopped by SIGTERM')));
    process.once('SIGINT', () => fail(new Error('stopped by SIGINT')));
  }

  /** Seconds since the site was created. */
  get nowS() {
    return (performance.now() - this.#startMs) / 1000;
  }

  /** Writes a line to the record. */
  log(text) {
    this.record.write(`${this.nowS.toFixed(3)} ${text}\n`);
  }

  /** Listens for calls to the store that have a label of their own. */
  addStoreListener(label) {
    return this.store.listen(`${this.#net}.1`, label);
  }

  async start({
    entries,
    archives = [0, 1, 2],
    models = 4,
    services = 3,
    archiveStore = undefined,
  }) {
    this.storeAddress = await this.store.listen(`${this.#net}.1`);
    this.store.put('config', 'main', createConfig(1));
    for (let index = 0; index < models + services; index++) {
      await this.addRunner(index < models, index);
    }
    const storeOfArchives =
      archiveStore && (await this.addStoreListener(archiveStore));
    for (const zone of archives) {
      const vm = await this.addVm('archive', zone);
      vm.storeAddress = storeOfArchives;
    }
    for (const zone of entries) await this.addVm('entry', zone);
    for (const vm of this.vms.values()) await this.startVm(vm.name);
    await this.waitUntilReady([...this.vms.keys()]);
  }

  /** Starts a runner, which has an id of its own. */
  async addRunner(isModel, zone) {
    const runner = new Runner({
      id: `i-${isModel ? 'm' : 's'}${this.runners.length}`,
      service: isModel ? 'agent-llm' : 'booking-app',
      zone: zones[zone % zones.length],
      slots: isModel ? 16 : 6,
      isModel,
      onRun: (run) => {
        this.runs.push({...run, atS: this.nowS});
        this.log(`run ${run.id} at ${run.runner}`);
      },
    });
    await runner.start(`${this.#net}.2`, this.store);
    this.runners.push(runner);
    return runner;
  }

  async addVm(role, zone) {
    const ip = `${this.#net}.${this.#nextHost++}`;
    this.ports ??= await this.#findPorts(ip);
    const vmClass = role === 'entry' ? 'front' : 'storage';
    const name = `${vmClass}-${zones[zone]}-${ip.split('.')[3]}`;
    const dataDir = path.join(this.#folder, name);
    if (role === 'archive') mkdirSync(dataDir);
    const vm = {name, role, zone, ip, dataDir, isBootstrap: true};
    this.vms.set(name, vm);
    return vm;
  }

  /** Entry VMs of a zone. */
  entriesOf(zone) {
    return [...this.vms.values()].filter(
      (vm) => vm.role === 'entry' && vm.zone === zone,
    );
  }

  get archives() {
    return [...this.vms.values()].filter(({role}) => role === 'archive');
  }

  startVm(name) {
    const vm = this.vms.get(name);
    const settings = path.join(this.#folder, `${name}.conf`);
    writeFileSync(settings, this.#createSettings(vm));
    const [program, ...args] = getRunLine(vm.role);
    const {PATH, HOME, LANG} = process.env;
    const env = {PATH, HOME, LANG, MARIGOLDPOST_CONFIG: settings};
    const log = createWriteStream(path.join(this.#folder, `${name}.log`), {
      flags: 'a',
    });
    vm.process = spawn(program, args, {
      cwd: root,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    vm.process.stdout.pipe(log, {end: false});
    vm.process.stderr.pipe(log, {end: false});
    const started = vm.process;
    vm.exited = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        this.log(`process ${name} ended: ${code ?? signal}`);
        resolve();
      });
    });
  }

  signal(name, signal) {
    this.log(`signal ${signal} to ${name}`);
    this.vms.get(name).process.kill(signal);
  }

  async killVm(name) {
    const vm = this.vms.get(name);
    this.signal(name, 'SIGKILL');
    await vm.exited;
  }

  /** Text that a process has written so far. */
  readLog(name) {
    return readFileSync(path.join(this.#folder, `${name}.log`), 'utf8');
  }

  async waitUntilReady(names) {
    for (const name of names) {
      const vm = this.vms.get(name);
      if (vm.role !== 'entry') continue;
      while (!(await this.#isReady(vm))) {
        if (this.nowS > 30) throw new Error(`${name} is not ready`);
        await pause(50);
      }
    }
    const count = this.archives.length;
    while (this.store.names('archives').length < count) await pause(50);
  }

  /** Sends one client attempt over a new connection; never rejects. */
  send(vm, request) {
    const {id, target, method = 'POST', headers = {}, body} = request;
    const {deadlineMs, slowReadMs} = request;
    const startS = this.nowS;
    return new Promise((resolve) => {
      const answer = {id, status: 0, body: '', isWhole: false, headers: {}};
      let settled = false;
      const end = () => {
        if (settled) return;
        settled = true;
        answer.endS = this.nowS;
        answer.tookMs = Math.round((answer.endS - startS) * 1000);
        const whole = answer.isWhole ? 'whole' : 'broken';
        this.log(
          `${vm.name} answered ${id} ${answer.status} ${whole} after ${answer.tookMs} ms`,
        );
        resolve(answer);
      };
      this.log(`client sends ${id} ${method} ${target} to ${vm.name}`);
      const sent = http.request({
        host: vm.ip,
        port: this.ports.front,
        method,
        path: target,
        agent: false,
        headers: {
          Host: host,
          'X-Request-Id': id,
          'X-Deadline-Ms': String(deadlineMs),
          ...headers,
        },
      });
      const timer = setTimeout(() => sent.destroy(), deadlineMs);
      sent.on('error', () => {
        clearTimeout(timer);
        end();
      });
      sent.on('response', (response) => {
        answer.status = response.statusCode;
        answer.headers = response.headers;
        const chunks = [];
        response.on('error', () => undefined);
        if (slowReadMs === undefined) {
          response.on('data', (chunk) => chunks.push(chunk));
        } else readSlowly(response, chunks, slowReadMs);
        response.once('close', () => {
          clearTimeout(timer);
          answer.body = Buffer.concat(chunks).toString('latin1');
          answer.isWhole = response.complete;
          end();
        });
      });
      sent.end(body);
    });
  }

  async stop() {
    for (const vm of this.vms.values()) vm.process?.kill('SIGKILL');
    for (const vm of this.vms.values()) await vm.exited;
    for (const runner of this.runners) if (!runner.isDown) runner.close();
    this.store.close();
    if (process.env.KEEP === undefined) {
      rmSync(this.#folder, {recursive: true, force: true});
    } else process.stderr.write(`${this.#folder}\n`);
    await new Promise((resolve) => this.record.end(resolve));
  }

  #isReady({ip}) {
    return new Promise((resolve) => {
      const request = http.get(
        {host: ip, port: this.ports.ready, path: '/ready', agent: false},
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
    });
  }

  async #findPorts(ip) {
    for (;;) {
      const first = 20_000 + Math.floor(Math.random() * 10_000);
      const ports = [0, 1, 2, 3, 4].map((offset) => first + offset);
      const free = await Promise.all(ports.map((port) => isFree(ip, port)));
      if (!free.every(Boolean)) continue;
      const [front, ready, control, peer, last] = ports;
      return {front, ready, control, peer, last};
    }
  }

  #createSettings(vm) {
    const {name, role, zone, ip, dataDir, isBootstrap} = vm;
    const isEntry = role === 'entry';
    const {front, ready, control, peer, last} = this.ports;
    const seeds =
      vm.seeds ?? this.archives.map((one) => `${one.ip}:${control}`);
    const lines = [
      `Node=${name}`,
      `Role=${role}`,
      `Class=${isEntry ? 'front' : 'storage'}`,
      `Serves=${isEntry ? 'front' : 'storage,control'}`,
      `Ip=${ip}`,
      `Zone=${zones[zone]}`,
      'Region=nz-north',
      ...zones.map((one) => `Zones.${one}=nz-north`),
      ...(isEntry
        ? [`Listen.Front=${ip}:${front}`, `Listen.Ready=${ip}:${ready}`]
        : [`Listen.Control=${ip}:${control}`, `DataDir=${dataDir}`]),
      `PortRange=${peer},${last}`,
      `Seeds=${seeds.slice(0, 3).join(',')}`,
      `Bootstrap=${isBootstrap}`,
      `LossCounts=${!isEntry}`,
      'Limits.CpuShare=0.675',
      `Limits.Cores=${isEntry ? 1 : 2}`,
      `Limits.MemoryMb=${isEntry ? 350 : 390}`,
      `Limits.MaxFds=${isEntry ? 4100 : 8200}`,
      `Limits.LinkMbps=${isEntry ? 1000 : 600}`,
      `Limits.DiskMb=${isEntry ? 0 : 530}`,
      'Discovery=platform',
      'Entry=vip',
      'HeartbeatMs=1200',
      'Contracts=base,drain,config,cost,recover,agent,stream,engine,platform',
      'Tolerate.Machines=1',
      'Tolerate.Zones=1',
      'Tolerate.Regions=0',
      'Bounds.SeedLagS=3',
      'Bounds.ReuseAfterS=2',
      'Bounds.ContactMs=3000',
      'Bounds.AckMs=4000',
      'Bounds.CatchupS=4.9',
      'Bounds.DrainMs=2000',
      'Bounds.GraceS=8',
      'Bounds.LossSlackMs=200',
      'Bounds.ConfigApplyMs=2000',
      'Bounds.RollbackSlackMs=250',
      'Bounds.MaxSkewMs=5000',
      'Bounds.RecoveryS=12',
      'Bounds.PassMs=120',
      'Bounds.RetryAfterS=0',
      'Bounds.DeadlineS=10',
      'Bounds.SettleMs=1000',
      `Provider.Address=${vm.storeAddress ?? this.storeAddress}`,
      'Provider.form=objects',
      'Provider.WritesPerS=400',
      'Provider.ReadsPerS=2000',
      'Provider.HistoryS=20',
      'Provider.ValueBytes=1048576',
      'Provider.MinTtlMs=1000',
    ];
    return `${lines.join('\n')}\n`;
  }
}
