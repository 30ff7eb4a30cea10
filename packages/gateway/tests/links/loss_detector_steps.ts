/** Steps for what ends a response whose target or relay is silent. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {setImmediate as yieldToEvents} from 'node:timers/promises';
import {Before, Given, Then, type World} from '@cucumber/cucumber';
import {
  type DaemonId,
  type DataCentreId,
  type ServiceId,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  connectTimeoutMs,
  LinkMonitor,
  LinkProber,
  LossDetector,
  SilenceWatch,
  type TargetBody,
  TargetAgents,
} from '@marigoldpost/gateway';
import type {TargetEntry} from '@marigoldpost/sites';
import {EventLogger} from '@marigoldpost/telemetry';

interface LossWorld extends World {
  clock: VirtualClock;
  links: LinkMonitor;
  /** Time in which the target, or the relay, neither reads nor accepts. */
  silence: {fromMs: number; toMs: number};
  nextBytesMs: number | undefined;
  peer: DaemonId | undefined;
  endedAtMs: number | undefined;
}

/** Step of the clock; far below every limit. */
const stepMs = 5;
/** Time before the silence, so that beliefs may precede it. */
const leadMs = 1000;
const watchedMs = 5000;
const otherVm = toId<DaemonId>('entry-1');
const target: TargetEntry = {
  id: toId<TargetId>('target'),
  service: toId<ServiceId>('service'),
  address: {host: '10.0.0.1', port: 80},
  dataCentre: toId<DataCentreId>('north'),
  slots: 1,
  isDraining: false,
  startedAtMs: 1,
};

Before(function (this: LossWorld) {
  this.nextBytesMs = undefined;
  this.peer = undefined;
  this.endedAtMs = undefined;
});

Given(
  /^a (target|relaying entry VM) that neither reads nor accepts from (\d+) to (\d+) ms$/,
  function (this: LossWorld, silent: string, from: string, to: string) {
    this.clock = VirtualClock.create();
    const {clock} = this;
    this.links = LinkMonitor.create({
      clock,
      logger: EventLogger.createSilent(),
    });
    this.silence = {fromMs: leadMs + Number(from), toMs: leadMs + Number(to)};
    if (silent !== 'target') this.peer = otherVm;
  },
);

Given(
  'its next bytes come {int} ms after that',
  function (this: LossWorld, pauseMs: number) {
    this.nextBytesMs = this.silence.toMs + pauseMs;
  },
);

Given(
  /^another entry VM asks for it at (\d+) ms, and reaches it (?:(\d+) ms after that|at (\d+) ms)$/,
  function (
    this: LossWorld,
    asked: string,
    afterMs: string | undefined,
    at: string | undefined,
  ) {
    const {clock, links, silence} = this;
    const reachedMs =
      at === undefined ? silence.toMs + Number(afterMs) : leadMs + Number(at);
    clock.setTimer(leadMs + Number(asked), () => {
      links.recordConnectFailure(target, 'no connection');
    });
    clock.setTimer(reachedMs, () => {
      links.recordReachedByPeer(target, otherVm);
    });
  },
);

Given(
  'another entry VM does not reach it at {int} ms',
  function (this: LossWorld, atMs: number) {
    const {clock, links} = this;
    clock.setTimer(leadMs + atMs, () => {
      links.recordConnectFailure(target, 'no connection');
      links.recordUnreachedByPeer(target, otherVm);
    });
  },
);

Given(
  'another entry VM reached it {int} ms after a connection to it had failed',
  function (this: LossWorld, atMs: number) {
    const {clock, links} = this;
    clock.setTimer(leadMs + atMs, () => {
      links.recordConnectFailure(target, 'no connection');
      links.recordReachedByPeer(target, otherVm);
    });
  },
);

Then('the response is not ended', async function (this: LossWorld) {
  assert.equal(await findEnd(this), undefined);
});

Then(
  'the response ends within {int} to {int} ms',
  async function (this: LossWorld, fromMs: number, toMs: number) {
    const endedMs = (await findEnd(this)) ?? Number.POSITIVE_INFINITY;
    assert.ok(endedMs >= fromMs && endedMs <= toMs, `${endedMs} ms`);
  },
);

/** Runs the clock; gets how long after its last bytes the response was ended. */
async function findEnd(world: LossWorld): Promise<number | undefined> {
  const {clock, peer, nextBytesMs} = world;
  const {detector, prober} = createDetector(world);
  const controller = new AbortController();
  void prober.run(controller.signal).catch(() => undefined);
  await advanceTo(clock, leadMs);
  const watch = SilenceWatch.start({
    clock,
    body: createBody(world),
    findLoss: (silentMs) => detector.findLoss({target, peer, silentMs}),
  });
  await advanceTo(clock, nextBytesMs ?? leadMs + watchedMs);
  watch.stop();
  controller.abort();
  return world.endedAtMs === undefined ? undefined : world.endedAtMs - leadMs;
}

function createDetector(world: LossWorld): {
  detector: LossDetector;
  prober: LinkProber;
} {
  const {clock, links} = world;
  const agents = TargetAgents.create(() => connect(world));
  const prober = LinkProber.create({clock, links, agents});
  prober.setTargets([target]);
  const detector = LossDetector.create({
    clock,
    links,
    prober,
    isPeerRunning: () => checkPeer(world),
  });
  detector.setTargets([target]);
  return {detector, prober};
}

function createBody(world: LossWorld): TargetBody {
  return {
    response: {isPaused: () => false},
    abort: () => {
      world.endedAtMs = world.clock.nowMs();
    },
  } as unknown as TargetBody;
}

function accepts({clock, silence}: LossWorld): boolean {
  const nowMs = clock.nowMs();
  return nowMs < silence.fromMs || nowMs >= silence.toMs;
}

/** Opens a connection, which is accepted only if the target accepts now. */
function connect(world: LossWorld): Socket {
  const socket = Object.assign(new EventEmitter(), {destroy: () => undefined});
  // A request to connect that is dropped is not repeated within the time-out.
  if (accepts(world)) setImmediate(() => socket.emit('connect'));
  return socket as unknown as Socket;
}

async function checkPeer(world: LossWorld): Promise<boolean> {
  if (accepts(world)) return true;
  await world.clock.sleep(connectTimeoutMs);
  return false;
}

async function advanceTo(clock: VirtualClock, endMs: number): Promise<void> {
  while (clock.nowMs() < endMs) {
    await clock.advance(stepMs);
    // Connections open and time out in events of the process.
    for (let turn = 0; turn < 3; turn++) await yieldToEvents();
  }
}
