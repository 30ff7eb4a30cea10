/** Starts the deployed programs as processes, and asks them as a client does. */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Bandwidth, Link} from './link.mjs';
import {Runner, sleep} from './runner.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const ports = {front: 8149, ready: 8141, control: 8144};
/** The first ports of `PortRange`, on which the processes speak to each other. */
const peerPorts = [7380, 7381];
const firstLinkPort = 20_000;
/** A case runs for 120 s at most. */
const maxCaseMs = 115_000;
const host = 'calls.example';
/** Tokens of one event, as the configuration states. */
export const stride = 21;
/** Bounds of the site file, as DEPLOY.md shows them. */
const bounds = [
  'SeedLagS=3',
  'ReuseAfterS=2',
  'ContactMs=3000',
  'AckMs=4000',
  'CatchupS=4.9',
  'DrainMs=2000',
  'GraceS=8',
  'LossSlackMs=200',
  'ConfigApplyMs=2000',
  'RollbackSlackMs=250',
  'MaxSkewMs=5000',
  'RecoveryS=12',
  'PassMs=120',
  'RetryAfterS=0',
  'DeadlineS=10',
  'SettleMs=1000',
];
const contracts = 'base,drain,config,cost,recover,agent,stream,engine,platform';

/** Reads the command of a role from the deploy file. */
function getCommand(role) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

/** One process of the system, which can be killed and started again. */
class Node {
  constructor(site, options) {
    this.site = site;
    this.options = options;
    this.folder = path.join(site.folder, options.name);
    this.dataFolder = path.join(this.folder, 'data');
    mkdirSync(this.folder, {recursive: true});
    this.isFirstStart = true;
  }

  get isArchive() {
    return this.options.role === 'archive';
  }

  start() {
    const {name, role, ip, zone} = this.options;
    const {zones, storeAddresses, seeds, tolerate} = this.site;
    if (this.isArchive) mkdirSync(this.dataFolder, {recursive: true});
    const own = this.isArchive
      ? [
          'Class=storage',
          'Serves=storage,control',
          `Listen.Control=${ip}:${ports.control}`,
          'LossCounts=true',
          'Limits.MemoryMb=390',
          'Limits.MaxFds=8200',
          'Limits.DiskMb=530',
          `DataDir=${this.dataFolder}`,
        ]
      : [
          'Class=front',
          'Serves=front',
          `Listen.Front=${ip}:${ports.front}`,
          `Listen.Ready=${ip}:${ports.ready}`,
          'LossCounts=false',
          'Limits.MemoryMb=350',
          'Limits.MaxFds=4100',
          'Limits.DiskMb=0',
        ];
    const lines = [
      `Node=${name}`,
      `Role=${role}`,
      `Ip=${ip}`,
      `Zone=${zone}`,
      'Region=nz-north',
      ...zones.map((other) => `Zones.${other}=nz-north`),
      'PortRange=7380,7395',
      `Seeds=${seeds.join(',')}`,
      `Bootstrap=${this.isFirstStart}`,
      'Limits.CpuShare=0.675',
      'Limits.Cores=1',
      'Limits.LinkMbps=1000.0',
      'Discovery=platform',
      'Entry=vip',
      `HeartbeatMs=1200`,
      `Contracts=${contracts}`,
      `Tolerate.Machines=${tolerate}`,
      'Tolerate.Zones=1',
      'Tolerate.Regions=0',
      ...bounds.map((bound) => `Bounds.${bound}`),
      `Provider.Address=${this.storeAddress ?? storeAddresses.get(zone)}`,
      'Provider.form=objects',
      'Provider.WritesPerS=400',
      'Provider.ReadsPerS=2000',
      'Provider.HistoryS=20',
      'Provider.ValueBytes=1048576',
      'Provider.MinTtlMs=1000',
      ...own,
    ];
    const file = path.join(this.folder, 'node.conf');
    writeFileSync(file, `${lines.join('\n')}\n`);
    this.isFirstStart = false;
    const [program, ...args] = getCommand(role);
    const {PATH, HOME, LANG = 'C.UTF-8'} = process.env;
    const env = {PATH, HOME, LANG, MARIGOLDPOST_CONFIG: file};
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = path.join(this.folder, 'log');
    const add = (chunk) => appendFileSync(log, chunk);
    this.child.stdout.on('data', add);
    this.child.stderr.on('data', add);
    const {child} = this;
    this.ended = new Promise((resolve) => child.once('exit', resolve));
    child.once('exit', (code, signal) => {
      if (!this.site.isClosed) {
        this.site.log(`${name} has ended: ${code ?? signal}`);
      }
    });
    this.site.log(`${name} is started`);
  }

  signal(name) {
    this.site.log(`${this.options.name} gets ${name}`);
    this.child.kill(name);
  }

  async end(signal) {
    this.signal(signal);
    await this.ended;
  }

  async kill() {
    await this.end('SIGKILL');
  }

  /** Empties the data folder of a process that has ended. */
  loseDisk() {
    rmSync(this.dataFolder, {recursive: true, force: true});
    this.site.log(`${this.options.name} has lost its disk`);
  }
}

/** A small site: one archive and `entriesPerZone` entries a zone. */
export class Site {
  constructor(options) {
    const {folder, zones, entriesPerZone = 1, tolerate = 1} = options;
    this.options = options;
    this.recordFile = path.join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.zones = zones;
    this.tolerate = tolerate;
    this.startMs = Date.now();
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.runs = [];
    this.runners = [];
    this.nextId = 0;
    this.links = [];
    this.storeAddresses = new Map();
    this.store = new Store();
    const {pid} = process;
    this.net = `127.${30 + (pid % 180)}.${1 + (Math.floor(pid / 180) % 250)}`;
    this.archives = zones.map(
      (zone, index) =>
        new Node(this, {
          name: `storage-${zone}-1`,
          role: 'archive',
          zone,
          ip: `${this.net}.${10 + index}`,
        }),
    );
    this.seeds = this.archives.map(
      ({options: {ip}}) => `${ip}:${ports.control}`,
    );
    this.entries = zones.flatMap((zone, index) =>
      Array.from(
        {length: entriesPerZone},
        (_, number) =>
          new Node(this, {
            name: `front-${zone}-${number + 1}`,
            role: 'entry',
            zone,
            ip: `${this.net}.${50 + 10 * index + number}`,
          }),
      ),
    );
  }

  log(text) {
    const s = ((Date.now() - this.startMs) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${s.padStart(8)} ${text}\n`);
  }

  /** Starts the store, the runners and all processes; waits until ready. */
  async start(options = {}) {
    const {engines = 3, tools = 2, events = 8, pauseMs = 30} = options;
    const {unframed = false} = options;
    for (const zone of this.zones) await this.addView(zone);
    this.putConfig(1);
    const onRun = (run) => {
      this.runs.push(run);
      this.log(`run of ${run.id} begins at ${run.runner}`);
    };
    const add = async (id, service, index, more) => {
      const zone = this.zones[index % this.zones.length];
      const options = {id, service, zone, host: '127.0.0.1', onRun, ...more};
      const runner = new Runner(options);
      await runner.start(this.store);
      this.runners.push(runner);
    };
    for (let index = 0; index < engines; index += 1) {
      await add(`i-llm${index}`, 'llm', index, {events, pauseMs, unframed});
    }
    for (let index = 0; index < tools; index += 1) {
      await add(`i-app${index}`, 'app', index, {});
    }
    for (const node of [...this.archives, ...this.entries]) node.start();
    await this.waitUntilReady(this.entries);
    // Traffic starts later than the machines do.
    await sleep(2000);
  }

  /** Gives the processes of a zone their store and their links to others. */
  async addView(zone) {
    const nodes = [...this.archives, ...this.entries];
    const replaced = [];
    for (const {options} of nodes.filter(
      (node) => node.options.zone !== zone,
    )) {
      for (const port of peerPorts) {
        const target = {host: options.ip, port};
        const zones = [zone, options.zone];
        const link = await Link.create(this.getLinkAddress(), target, zones);
        this.links.push(link);
        replaced.push([`${options.ip}:${port}`, link.address]);
      }
    }
    const translate = (text) =>
      replaced.reduce((all, [from, to]) => all.replaceAll(from, to), text);
    const address = await this.store.listen('127.0.0.1', translate);
    this.storeAddresses.set(zone, address);
  }

  /**
   * Gives a process a link of its own, of a bandwidth, to all machines of the
   * system; before its start.
   */
  async setLink(node, mbps) {
    const own = {toward: new Bandwidth(mbps), away: new Bandwidth(mbps)};
    const nodes = [...this.archives, ...this.entries];
    const replaced = [];
    for (const {options} of nodes.filter((other) => other !== node)) {
      for (const port of peerPorts) {
        const target = {host: options.ip, port};
        const address = this.getLinkAddress();
        const link = await Link.create(address, target, [], own);
        this.links.push(link);
        replaced.push([`${options.ip}:${port}`, link.address]);
      }
    }
    const translate = (text) =>
      replaced.reduce((all, [from, to]) => all.replaceAll(from, to), text);
    node.storeAddress = await this.store.listen('127.0.0.1', translate);
    this.log(`${node.options.name} has a link of ${mbps} Mbit/s`);
  }

  /** Gets an address for a link; its port is not given to connections. */
  getLinkAddress() {
    return {host: `${this.net}.250`, port: firstLinkPort + this.links.length};
  }

  /** Cuts a zone off from the machines of all others: refused connections. */
  async cutZone(zone) {
    this.log(`zone_cut (refuse) ${zone} begins`);
    const links = this.links.filter(({zones}) => zones.includes(zone));
    await Promise.all(links.map((link) => link.cut()));
  }

  /** Ends all cuts. */
  async heal() {
    await Promise.all(this.links.map((link) => link.heal()));
    this.log('zone_cut ends');
  }

  putConfig(version, change = (config) => config) {
    const route = {
      Host: host,
      TimeoutMs: 4000,
      SloMs: 200,
      Priority: 0,
      Attempts: 2,
    };
    const config = change({
      Version: version,
      Routes: [
        {
          ...route,
          Name: 'turns',
          PathPrefix: '/turns/',
          Kind: 'streaming',
          Service: 'llm',
          Retained: true,
          RetentionS: 60,
          Sticky: true,
          Resumable: false,
          GapSloMs: 300,
        },
        {
          ...route,
          Name: 'reads',
          PathPrefix: '/reads/',
          Kind: 'idempotent',
          Service: 'app',
          TimeoutMs: 1200,
        },
        {
          ...route,
          Name: 'orders',
          PathPrefix: '/orders/',
          Kind: 'non_idempotent',
          Service: 'app',
          TimeoutMs: 2000,
        },
      ],
      Services: [
        {
          Name: 'llm',
          HealthPath: '/health',
          MaxConns: 180,
          Protocol: 'h1',
          Tls: false,
          Engine: {
            Slots: 16,
            KvCacheTokens: 584860,
            KvTokenBytes: 163840,
            LinkMbps: 1200000,
            Moves: true,
            Backups: true,
            Stride: stride,
            most: 12,
            PinMs: 4000,
            HoldMs: 2000,
            handle_s: 5,
            Models: [{Name: 'm'}],
          },
        },
        {
          Name: 'app',
          HealthPath: '/health',
          MaxConns: 110,
          Protocol: 'h1',
          Tls: false,
        },
      ],
      Limits: {
        MaxHeaderBytes: 16384,
        MaxBodyBytes: 4194304,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15000,
      },
    });
    this.store.put('config', 'main', config);
    this.log(`configuration ${version} is acknowledged`);
  }

  async waitUntilReady(entries, limitMs = 20_000) {
    const endMs = Date.now() + limitMs;
    for (const {options} of entries) {
      while (!(await isReady(options.ip))) {
        if (Date.now() > endMs) throw new Error(`${options.name} is not ready`);
        await sleep(100);
      }
    }
  }

  createId() {
    this.nextId += 1;
    const {pid} = process;
    return `${pid.toString(16)}${this.nextId.toString(16).padStart(6, '0')}`;
  }

  /** Sends a turn; the result has what the client got. */
  turn(entry, options = {}) {
    const {
      program,
      previous,
      budget,
      most = 2000,
      input = 'input\n',
      pathName = '/turns/2f',
    } = options;
    const id = options.id ?? this.createId();
    const headers = {
      'X-Model': 'm',
      'X-Token-Usage': `400,${most}`,
      'X-Prompt-Prefix': `aa:200,${id.slice(-8)}:200`,
      'X-Deadline-Ms': '4000',
      'X-Program-Id': program,
      'X-Session-Id': options.session ?? `${program}s`,
      'X-Finish-Ms': String(options.finishMs ?? 20_000),
    };
    if (budget !== undefined) headers['X-Token-Budget'] = String(budget);
    if (previous !== undefined) headers['X-Previous-Turn'] = previous;
    const call = {method: 'POST', path: pathName, body: input, id, headers};
    return this.call(entry, {...call, onEvents: options.onEvents});
  }

  /** Sends a request over a connection of its own. */
  async call(entry, {method, path: target, body = '', id, headers, onEvents}) {
    const {ip, name} = entry.options;
    const sent = `${method} ${target} ${id}`;
    const about = ['X-Previous-Turn', 'X-Program-Id', 'X-Token-Budget']
      .filter((key) => headers[key] !== undefined)
      .map((key) => `${key}=${headers[key]}`)
      .join(' ');
    this.log(`client sends ${sent} to ${name} ${about}`);
    const answer = await new Promise((resolve) => {
      const result = {id, status: 0, text: '', isWhole: false, headers: {}};
      const request = http.request({
        host: ip,
        port: ports.front,
        method,
        path: target,
        agent: false,
        headers: {Host: host, 'X-Request-Id': id, ...headers},
      });
      const timer = setTimeout(() => request.destroy(), 4500);
      const end = () => {
        clearTimeout(timer);
        resolve(result);
      };
      request.once('error', end);
      request.once('response', (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.setEncoding('utf8');
        response.on('data', (text) => {
          result.text += text;
          onEvents?.(countEvents(result.text));
        });
        response.once('error', () => undefined);
        response.once('close', () => {
          result.isWhole = response.complete;
          end();
        });
      });
      request.end(body);
    });
    answer.events = countEvents(answer.text);
    const signature = answer.headers['x-server-signature'] ?? 'none';
    this.log(
      `client gets for ${id}: ${answer.status}, signature ${signature}, ` +
        `events ${answer.events}, body ${answer.isWhole ? 'whole' : 'cut'}`,
    );
    return answer;
  }

  /** Ends everything that was started. */
  async close() {
    this.isClosed = true;
    const nodes = [...this.archives, ...this.entries];
    for (const {child} of nodes) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    await Promise.all(nodes.map(({ended}) => ended));
    for (const runner of this.runners) runner.close();
    await Promise.all(this.links.map((link) => link.cut()));
    this.store.close();
    if (process.env.KEEP !== '1') {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}

function countEvents(text) {
  return text.split('\n\n').length - 1;
}

async function isReady(ip) {
  return new Promise((resolve) => {
    const request = http.get(
      {host: ip, port: ports.ready, path: '/ready', agent: false, timeout: 500},
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(false));
  });
}

/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run.
 */
export async function runCase(options, play) {
  const site = new Site(options);
  const isTroubled = process.env.TROUBLE !== '0';
  let code = 2;
  const giveUp = async (reason) => {
    site.log(`the case could not run: ${reason}`);
    await site.close();
    process.exit(2);
  };
  setTimeout(() => giveUp('it takes too long'), maxCaseMs);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => giveUp(signal));
  }
  try {
    site.log(isTroubled ? 'with the disruption' : 'without the disruption');
    const {isBroken, text} = await play(site, isTroubled);
    site.log(text);
    site.log(isBroken ? 'the rule is broken' : 'the rule held');
    console.log(text);
    code = isBroken ? 1 : 0;
  } catch (error) {
    site.log(`the case could not run: ${error.stack}`);
    console.log(String(error));
  }
  await site.close();
  process.exit(code);
}
