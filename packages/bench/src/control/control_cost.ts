/** Measures the control traffic cost of a daemon by size of the fleet. */
import {SystemClock, VirtualClock} from '@marigoldpost/common';
import {ConnectPeerTransport} from '@marigoldpost/peers';
import {MemoryPeerNetwork} from '@marigoldpost/standins';
import {ControlFleet, controlHeartbeatMs} from './control_fleet.js';

const loopback = '127.0.0.1';
const dataCentreCount = 4;
const msPerSecond = 1000;
const microsPerMs = 1000;
const warmUpIntervals = 15;
/**
 * Heartbeat intervals after which a measurement stops waiting for a change that
 * has not reached all daemons.
 */
const maxSpreadIntervals = 60;

/** Control traffic cost of one daemon. */
export interface ControlCost {
  readonly daemonCount: number;
  readonly sentBytesPerSecond: number;
  /** CPU time as a percentage of one core. */
  readonly processorPercent: number;
}

/** Propagation time of a change. */
export interface ControlSpread {
  readonly daemonCount: number;
  /** Time until every daemon received a newer version, in milliseconds. */
  readonly configSpreadMs: number;
}

/**
 * Measures heartbeats over loopback sockets, all daemons in this process.
 * @param daemonCount - Size of the fleet.
 * @param seconds - Duration of the measurement.
 */
export async function measureSocketCost(
  daemonCount: number,
  seconds: number,
): Promise<ControlCost> {
  const clock = SystemClock.create();
  const fleet = await ControlFleet.create({
    daemonCount,
    dataCentreCount,
    clock,
    openTransport: async (daemon) => {
      const options = {daemon, host: loopback, port: 0, clock};
      const transport = ConnectPeerTransport.create(options);
      await transport.start();
      return {transport, address: transport.getAddress().address};
    },
  });
  // Each pair opens its stream in the first rotation.
  const rotationMs = daemonCount * controlHeartbeatMs;
  await clock.sleep(Math.min(rotationMs, seconds * msPerSecond));
  const cost = await measureFleetUsage(fleet, () =>
    clock.sleep(seconds * msPerSecond),
  );
  await fleet.stop();
  return toCost(daemonCount, seconds, cost);
}

/**
 * Measures heartbeats on the in-memory network and a virtual clock. The CPU
 * time is that of the membership and the message codec, without sockets.
 * @param daemonCount - Size of the fleet.
 * @param seconds - Duration of the measurement in virtual time.
 */
export async function measureMemoryCost(
  daemonCount: number,
  seconds: number,
): Promise<ControlCost> {
  const clock = VirtualClock.create();
  const fleet = await createMemoryFleet(daemonCount, clock);
  await clock.advance(warmUpIntervals * controlHeartbeatMs);
  const cost = await measureFleetUsage(fleet, () =>
    clock.advance(seconds * msPerSecond),
  );
  await fleet.stop();
  return toCost(daemonCount, seconds, cost);
}

/**
 * Measures how long heartbeats alone take to propagate a newer version.
 * @param daemonCount - Size of the fleet.
 */
export async function measureSpread(
  daemonCount: number,
): Promise<ControlSpread> {
  const clock = VirtualClock.create();
  const fleet = await createMemoryFleet(daemonCount, clock);
  await clock.advance(warmUpIntervals * controlHeartbeatMs);
  for (const daemon of fleet.daemons) {
    daemon.membership.addListener({
      onConfigVersionReceived: ({version}) => {
        const configVersion = Math.max(version, daemon.state.configVersion);
        daemon.state = {...daemon.state, configVersion};
      },
    });
  }
  const configSpreadMs = await measureVersionSpread(fleet, clock);
  await fleet.stop();
  return {daemonCount, configSpreadMs};
}

async function measureVersionSpread(
  {daemons}: ControlFleet,
  clock: VirtualClock,
): Promise<number> {
  const [first] = daemons;
  const newVersion = 2;
  const stepMs = 100;
  const startMs = clock.nowMs();
  if (first) first.state = {...first.state, configVersion: newVersion};
  const endMs = startMs + maxSpreadIntervals * controlHeartbeatMs;
  const hasVersion = () =>
    daemons.every(({state}) => state.configVersion === newVersion);
  while (!hasVersion() && clock.nowMs() < endMs) await clock.advance(stepMs);
  return clock.nowMs() - startMs;
}

function createMemoryFleet(
  daemonCount: number,
  clock: VirtualClock,
): Promise<ControlFleet> {
  const network = MemoryPeerNetwork.create({clock, delayMs: 1});
  return ControlFleet.create({
    daemonCount,
    dataCentreCount,
    clock,
    openTransport: async (daemon) => {
      const transport = network.createTransport(daemon);
      await transport.start();
      return {transport, address: `http://${daemon}:7000`};
    },
  });
}

interface Usage {
  readonly sentBytes: number;
  readonly processorMs: number;
}

async function measureFleetUsage(
  fleet: ControlFleet,
  run: () => Promise<void>,
): Promise<Usage> {
  const sentBefore = fleet.getSentBytes();
  const processorBefore = process.cpuUsage();
  await run();
  const {user, system} = process.cpuUsage(processorBefore);
  return {
    sentBytes: fleet.getSentBytes() - sentBefore,
    processorMs: (user + system) / microsPerMs,
  };
}

function toCost(
  daemonCount: number,
  seconds: number,
  {sentBytes, processorMs}: Usage,
): ControlCost {
  const daemonSeconds = daemonCount * seconds;
  return {
    daemonCount,
    sentBytesPerSecond: sentBytes / daemonSeconds,
    processorPercent: (processorMs * 100) / (daemonSeconds * msPerSecond),
  };
}
