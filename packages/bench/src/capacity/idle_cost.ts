/** Measures the cost of daemons that serve no calls. */
import {MemoryFleet} from './memory_fleet.js';
import {measureUsage} from '../utils/usage_meter.js';

const msPerSecond = 1000;
const secondsPerMinute = 60;
const percent = 100;

/** Size of the fleet, and duration of the measurement. */
export interface IdleLoad {
  readonly daemons: number;
  /** Duration of the measurement in virtual time. */
  readonly seconds: number;
}

/** Cost per daemon, without sockets. */
export interface IdleCost extends IdleLoad {
  readonly heapBytes: number;
  /** CPU time as a percentage of one core. */
  readonly processorPercent: number;
  readonly sentBytesPerSecond: number;
  readonly readsPerMinute: number;
  readonly writesPerMinute: number;
  readonly watchesPerMinute: number;
  /** Number of partitions that all daemons hold together. */
  readonly partitions: number;
}

/**
 * Measures idle daemons of one data centre with 16 partitions and a 3 s lease.
 * @param load - Number of daemons and duration.
 */
export async function measureIdleCost(load: IdleLoad): Promise<IdleCost> {
  const {daemons, seconds} = load;
  const fleets: MemoryFleet[] = [];
  const {heapBytes} = await measureUsage(async () => {
    fleets.push(await MemoryFleet.create(daemons));
  });
  const [fleet] = fleets as [MemoryFleet];
  const before = getCounts(fleet);
  const {processorMs} = await measureUsage(() =>
    fleet.clock.advance(seconds * msPerSecond),
  );
  const after = getCounts(fleet);
  const partitions = countPartitions(fleet);
  await fleet.stop();
  const daemonSeconds = daemons * seconds;
  const perMinute = secondsPerMinute / daemonSeconds;
  return {
    daemons,
    seconds,
    heapBytes: heapBytes / daemons,
    processorPercent: (processorMs * percent) / (daemonSeconds * msPerSecond),
    sentBytesPerSecond: (after.sentBytes - before.sentBytes) / daemonSeconds,
    readsPerMinute: (after.reads - before.reads) * perMinute,
    writesPerMinute: (after.writes - before.writes) * perMinute,
    watchesPerMinute: (after.watches - before.watches) * perMinute,
    partitions,
  };
}

function getCounts({store, daemons}: MemoryFleet) {
  const sentBytes = daemons.reduce(
    (sum, {membership}) => sum + membership.getTraffic().sentBytes,
    0,
  );
  return {...store.getTotalCallCounts(), sentBytes};
}

function countPartitions({daemons}: MemoryFleet): number {
  return daemons.reduce(
    (sum, {manager}) => sum + manager.getPartitions().length,
    0,
  );
}
