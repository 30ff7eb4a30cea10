/**
 * Replays programs through many dispatchers before few engines, on a virtual
 * clock. An engine runs as many requests as it has slots, in order of arrival, and
 * reads the prompt parts that it has not kept.
 */
import {
  type DataCentreId,
  type DaemonId,
  SeededRandom,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  LoadTotals,
  ServiceDispatcher,
  SharedLoads,
  type TargetLease,
} from '@marigoldpost/dispatch';
import type {PromptPart, PromptPartId, TargetEntry} from '@marigoldpost/sites';

/** What a replay varies. */
export interface ReplayOptions {
  readonly daemons: number;
  readonly engines: number;
  readonly slots: number;
  /** Programs that begin in a second. */
  readonly programsPerS: number;
  /** Slowest engine relative to the fastest. */
  readonly spread: number;
  /** Whether costs are learned and loads shared. */
  readonly learns: boolean;
  /** Time from which reports are lost. */
  readonly reportsEndMs?: number;
  /** Data centres; engines and daemons are dealt to them in turn. */
  readonly seed: number;
}

/** How the programs of a replay went. */
export interface ReplayResult {
  readonly programs: number;
  /** Mean time of a program relative to its time on idle engines of mean speed. */
  readonly meanStretch: number;
  /** Share of the programs that took at most 1.3 times that. */
  readonly inAimShare: number;
  /** Requests of the busiest engine relative to the mean. */
  readonly busiest: number;
}

const durationMs = 12_000;
const reportIntervalMs = 100;
const prefillTokensPerMs = 471;
const tokenMs = 1.18;
const cacheTokens = 225_000;
const sharedTokens = 12_600;
const ownTokens = 1680;
const sharedParts = 3;
const turns = 4;
const pauseMs = 40;
const aimFactor = 1.3;
const dataCentre = toId<DataCentreId>('north');

interface Job {
  readonly prompt: readonly PromptPart[];
  readonly outputTokens: number;
  readonly end: () => void;
}

/** Engine with slots, a queue and a cache of prompt parts. */
class Engine {
  received = 0;
  private running = 0;
  private readonly queue: Job[] = [];
  private readonly kept = new Map<PromptPartId, number>();
  private keptTokens = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly slots: number,
    private readonly slowness: number,
    private readonly random: SeededRandom,
  ) {}

  run(job: Job): void {
    this.received += 1;
    this.queue.push(job);
    this.startNext();
  }

  private startNext(): void {
    if (this.running >= this.slots) return;
    const job = this.queue.shift();
    if (job === undefined) return;
    this.running += 1;
    const noise = 0.8 + 0.4 * this.random.next();
    const decodeMs = job.outputTokens * tokenMs * (1 + 0.02 * this.running);
    const workMs = this.read(job.prompt) / prefillTokensPerMs + decodeMs;
    this.clock.setTimer(workMs * this.slowness * noise, () => {
      this.running -= 1;
      job.end();
      this.startNext();
    });
  }

  /** Keeps the parts of a prompt, and gets the tokens that it lacked. */
  private read(prompt: readonly PromptPart[]): number {
    let lacked = 0;
    for (const {id, tokens} of prompt) {
      if (lacked > 0 || !this.kept.has(id)) lacked += tokens;
      this.keptTokens += tokens - (this.kept.get(id) ?? 0);
      this.kept.delete(id);
      this.kept.set(id, tokens);
    }
    for (const [id, tokens] of this.kept) {
      if (this.keptTokens <= cacheTokens) break;
      this.kept.delete(id);
      this.keptTokens -= tokens;
    }
    return lacked;
  }
}

/** Runs a replay to its end. */
export async function replay(options: ReplayOptions): Promise<ReplayResult> {
  const clock = VirtualClock.create();
  const random = SeededRandom.create(options.seed);
  const entries: TargetEntry[] = [];
  const engines = new Map<TargetId, Engine>();
  for (let index = 0; index < options.engines; index++) {
    const id = toId<TargetId>(`engine-${index}`);
    const part = index / Math.max(1, options.engines - 1);
    const slowness = options.spread ** (part - 0.5);
    entries.push(createEntry(id, options.slots));
    engines.set(id, new Engine(clock, options.slots, slowness, random));
  }
  const totals = LoadTotals.create(clock);
  const daemons = Array.from({length: options.daemons}, (_none, index) => {
    const loads = SharedLoads.create();
    const dispatcher = ServiceDispatcher.create({
      service: {
        id: toId<ServiceId>('engines'),
        maxConnections: 400,
        engine: {slots: options.slots, cacheTokens, tokensPerEvent: 36},
      },
      dataCentre,
      clock,
      random: SeededRandom.create(options.seed * 1000 + index),
      sharedLoads: loads,
      getDaemonCount: () => (options.learns ? options.daemons : 1),
    });
    dispatcher.setTargets(entries);
    const report = () => {
      const sentAtMs = clock.nowMs();
      if (sentAtMs > (options.reportsEndMs ?? Infinity)) return;
      const name = toId<DaemonId>(`daemon-${index}`);
      const sums = totals.exchange(name, dispatcher.takeLoads());
      clock.setTimer(2, () => loads.record(dataCentre, sums, sentAtMs));
      clock.setTimer(reportIntervalMs, report);
    };
    clock.setTimer(reportIntervalMs * random.next(), report);
    return dispatcher;
  });

  const stretches: number[] = [];
  const send = async (
    prompt: readonly PromptPart[],
    previous: {target: TargetId; prompt: readonly PromptPart[]} | undefined,
    outputTokens: number,
  ) => {
    const dispatcher = daemons[random.nextInteger(daemons.length)];
    if (dispatcher === undefined) throw new Error('no daemon');
    const nowMs = clock.nowMs();
    const lease = await dispatcher.acquire(
      {
        prompt,
        priority: 0,
        finishByMs: nowMs + 10_000,
        deadlineMs: nowMs + 30_000,
        excluded: new Set(),
        previousPrompt: previous,
        kind: 'turns',
        outputHintTokens: outputTokens * (0.5 + random.next()),
      },
      new AbortController().signal,
    );
    await runAt(engines, clock, lease, prompt, outputTokens);
    return lease.target.id;
  };
  const runProgram = async (number: number) => {
    const startMs = clock.nowMs();
    const part = toId<PromptPartId>(`shared-${number % sharedParts}`);
    let prompt: PromptPart[] = [{id: part, tokens: sharedTokens}];
    let previous: {target: TargetId; prompt: PromptPart[]} | undefined;
    let idleMs = 0;
    for (let turn = 0; turn < turns; turn++) {
      const outputTokens = 120 + 260 * random.next();
      const id = toId<PromptPartId>(`own-${number}-${turn}`);
      prompt = [...prompt, {id, tokens: ownTokens}];
      idleMs += ownTokens / prefillTokensPerMs + outputTokens * tokenMs;
      const target = await send(prompt, previous, outputTokens);
      previous = {target, prompt};
      idleMs += pauseMs;
      await clock.sleep(pauseMs);
    }
    stretches.push((clock.nowMs() - startMs) / idleMs);
  };
  let programs = 0;
  for (let atMs = 0; atMs < durationMs; atMs += 1000 / options.programsPerS) {
    const number = programs;
    clock.setTimer(atMs, () => void runProgram(number));
    programs += 1;
  }
  await clock.advance(durationMs * 2);
  const received = [...engines.values()].map((engine) => engine.received);
  const mean =
    received.reduce((sum, count) => sum + count, 0) / received.length;
  const inAim = stretches.filter((stretch) => stretch <= aimFactor).length;
  return {
    programs: stretches.length,
    meanStretch:
      stretches.reduce((sum, one) => sum + one, 0) / stretches.length,
    inAimShare: inAim / programs,
    busiest: Math.max(...received) / mean,
  };
}

/** Runs a request at the engine of its lease, and releases the lease. */
async function runAt(
  engines: ReadonlyMap<TargetId, Engine>,
  clock: VirtualClock,
  lease: TargetLease,
  prompt: readonly PromptPart[],
  outputTokens: number,
): Promise<void> {
  const sentAtMs = clock.nowMs();
  await new Promise<void>((resolve) => {
    engines
      .get(lease.target.id)
      ?.run({prompt, outputTokens, end: () => resolve()});
  });
  const totalMs = clock.nowMs() - sentAtMs;
  const run = {
    firstEventMs: totalMs * 0.2,
    outputTokens,
    tokenMs: (totalMs * 0.8) / outputTokens,
  };
  const latencySampleMs = run.tokenMs * 36;
  lease.release({result: 'answered', latencySampleMs, run});
}

function createEntry(id: TargetId, slots: number): TargetEntry {
  return {
    id,
    service: toId<ServiceId>('engines'),
    address: {host: '127.0.0.1', port: 1},
    dataCentre,
    slots,
    isDraining: false,
    startedAtMs: 1,
  };
}
