/** Fleets of memberships for measuring the cost of control traffic. */
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  getPartitionId,
  SeededRandom,
  toEpoch,
  toId,
} from '@marigoldpost/common';
import {
  Membership,
  type OwnState,
  type PeerTransport,
} from '@marigoldpost/peers';
import {type Vm, VmList} from '@marigoldpost/platform';

/** Heartbeat interval of all measurements, in milliseconds. */
export const controlHeartbeatMs = 1000;

const partitionsPerDaemon = 4;

/** Daemon that runs only its membership. */
export interface ControlDaemon {
  readonly id: DaemonId;
  readonly transport: PeerTransport;
  readonly membership: Membership;
  /** State in its heartbeats; measurements may replace it. */
  state: OwnState;
}

/** Transport of a daemon, with the address it listens on. */
export interface ControlEndpoint {
  readonly transport: PeerTransport;
  readonly address: string;
}

/** Size, clock and transports of a fleet. */
export interface ControlFleetOptions {
  readonly daemonCount: number;
  readonly dataCentreCount: number;
  readonly clock: Clock;
  /** Creates and starts a daemon's transport. */
  readonly openTransport: (daemon: DaemonId) => Promise<ControlEndpoint>;
}

/** VM list with a fixed set of VMs. */
class FixedVmList extends VmList {
  constructor(private readonly vms: readonly Vm[]) {
    super();
  }

  override getVms(): Promise<readonly Vm[]> {
    return Promise.resolve(this.vms);
  }
}

/** Daemons distributed evenly over data centres. */
export class ControlFleet {
  private constructor(readonly daemons: readonly ControlDaemon[]) {}

  /**
   * Creates a fleet and starts its heartbeats.
   * @param options - Size, clock and transports.
   */
  static async create(options: ControlFleetOptions): Promise<ControlFleet> {
    const vms: Vm[] = [];
    const endpoints: ControlEndpoint[] = [];
    for (let index = 0; index < options.daemonCount; index++) {
      const name = toId<DaemonId>(`entry-${index}`);
      const endpoint = await options.openTransport(name);
      const zone = `zone-${index % options.dataCentreCount}`;
      const dataCentre = toId<DataCentreId>(zone);
      vms.push({name, dataCentre, address: endpoint.address, state: 'live'});
      endpoints.push(endpoint);
    }
    const daemons = endpoints.map((endpoint, index) =>
      createDaemon(endpoint, vms, index, options.clock),
    );
    for (const {membership} of daemons) await membership.start();
    return new ControlFleet(daemons);
  }

  /** Gets the number of control bytes that all daemons have sent. */
  getSentBytes(): number {
    return this.daemons.reduce(
      (total, {membership}) => total + membership.getTraffic().sentBytes,
      0,
    );
  }

  /** Stops all heartbeats and transports. */
  async stop(): Promise<void> {
    for (const {membership} of this.daemons) membership.stop();
    for (const {transport} of this.daemons) await transport.stop();
  }
}

function createDaemon(
  {transport, address}: ControlEndpoint,
  vms: readonly Vm[],
  index: number,
  clock: Clock,
): ControlDaemon {
  const {name, dataCentre} = vms[index] as Vm;
  const id = toId<DaemonId>(name);
  const membership = Membership.create({
    daemon: id,
    dataCentre,
    address,
    transport,
    vmList: new FixedVmList(vms),
    clock,
    random: SeededRandom.create(index),
    heartbeatMs: controlHeartbeatMs,
    getOwnState: () => daemon.state,
    incarnation: 1,
  });
  const daemon: ControlDaemon = {
    id,
    transport,
    membership,
    state: createState(dataCentre, index),
  };
  transport.setHandler(async function* (_sender, request) {
    if (request.case !== 'heartbeat') return;
    const value = membership.handleHeartbeat(request.value);
    yield {case: 'heartbeat', value};
  });
  return daemon;
}

function createState(dataCentre: DataCentreId, index: number): OwnState {
  const firstPartition = index * partitionsPerDaemon;
  return {
    configVersion: 1,
    configHash: 'a'.repeat(64),
    reachesPlatform: true,
    isDraining: false,
    partitions: Array.from({length: partitionsPerDaemon}, (_value, offset) => ({
      partition: getPartitionId(dataCentre, firstPartition + offset),
      epoch: toEpoch(1),
    })),
    quarantines: [],
  };
}
