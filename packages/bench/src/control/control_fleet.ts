/** Fleets of memberships for measuring the cost of control. */
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

/** Interval of heartbeats in every measurement, in milliseconds. */
export const controlHeartbeatMs = 1000;

const partitionsPerDaemon = 4;

/** One daemon with nothing but its membership. */
export interface ControlDaemon {
  readonly id: DaemonId;
  readonly transport: PeerTransport;
  readonly membership: Membership;
  /** What it announces; a measurement may change it. */
  state: OwnState;
}

/** A daemon's transport and where it listens. */
export interface ControlPort {
  readonly transport: PeerTransport;
  readonly address: string;
}

/** How a fleet is made. */
export interface ControlFleetOptions {
  readonly daemonCount: number;
  readonly dataCentreCount: number;
  readonly clock: Clock;
  /** Opens a daemon's transport. */
  readonly openPort: (daemon: DaemonId) => Promise<ControlPort>;
}

/** VM list that names every daemon. */
class FixedVms extends VmList {
  constructor(private readonly vms: readonly Vm[]) {
    super();
  }

  override getVms(): Promise<readonly Vm[]> {
    return Promise.resolve(this.vms);
  }
}

/** Daemons spread evenly over data centres. */
export class ControlFleet {
  private constructor(readonly daemons: readonly ControlDaemon[]) {}

  /**
   * Creates and starts a fleet.
   * @param options - Its size and transports.
   */
  static async create(options: ControlFleetOptions): Promise<ControlFleet> {
    const vms: Vm[] = [];
    const ports: ControlPort[] = [];
    for (let index = 0; index < options.daemonCount; index++) {
      const name = toId<DaemonId>(`entry-${index}`);
      const port = await options.openPort(name);
      const zone = `zone-${index % options.dataCentreCount}`;
      const dataCentre = toId<DataCentreId>(zone);
      vms.push({name, dataCentre, address: port.address, state: 'live'});
      ports.push(port);
    }
    const daemons = ports.map((port, index) =>
      createDaemon(port, vms, index, options.clock),
    );
    for (const {membership} of daemons) await membership.start();
    return new ControlFleet(daemons);
  }

  /** Gets the control bytes that all daemons have sent. */
  getSentBytes(): number {
    return this.daemons.reduce(
      (total, {membership}) => total + membership.getTraffic().sentBytes,
      0,
    );
  }

  /** Ends heartbeats and transports. */
  async stop(): Promise<void> {
    for (const {membership} of this.daemons) membership.stop();
    for (const {transport} of this.daemons) await transport.stop();
  }
}

function createDaemon(
  {transport, address}: ControlPort,
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
    vmList: new FixedVms(vms),
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
