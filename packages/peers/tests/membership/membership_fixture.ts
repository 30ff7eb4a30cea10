/** Fixture: fleets of memberships on the in-memory network. */
import {
  type DaemonId,
  type DataCentreId,
  SeededRandom,
  toEpoch,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {
  Membership,
  type OwnState,
  type PeerTransport,
} from '@marigoldpost/peers';
import {VmList, type Vm} from '@marigoldpost/platform';
import {MemoryPeerNetwork} from '@marigoldpost/standins';

/** Heartbeat interval of these fleets, in milliseconds. */
export const heartbeatMs = 1000;

/** A daemon of a fleet, with the state that it announces. */
export interface FleetDaemon {
  readonly id: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly transport: PeerTransport;
  membership: Membership;
  state: OwnState;
}

/** VM list with entries that a test sets. */
class StaticVmList extends VmList {
  vms: Vm[] = [];

  override getVms(): Promise<readonly Vm[]> {
    return Promise.resolve(this.vms);
  }
}

/** Fleet of daemons spread evenly over data centres. */
export class MembershipFleet {
  readonly clock = VirtualClock.create();
  readonly network: MemoryPeerNetwork;
  readonly daemons: FleetDaemon[] = [];
  private readonly vmList = new StaticVmList();
  private incarnation = 0;

  private constructor(delayMs: number) {
    this.network = MemoryPeerNetwork.create({clock: this.clock, delayMs});
  }

  /** Creates and starts a fleet; the VM list has the first `listed` daemons. */
  static async create(
    daemonCount: number,
    dataCentreCount: number,
    listed = daemonCount,
  ): Promise<MembershipFleet> {
    const fleet = new MembershipFleet(1);
    for (let index = 0; index < daemonCount; index++) {
      fleet.addDaemon(index, index % dataCentreCount);
    }
    fleet.vmList.vms = fleet.daemons.slice(0, listed).map((daemon) => ({
      name: daemon.id,
      dataCentre: daemon.dataCentre,
      address: daemon.address,
      state: 'live',
    }));
    for (const daemon of fleet.daemons) await fleet.startDaemon(daemon);
    return fleet;
  }

  getDaemon(index: number): FleetDaemon {
    return this.daemons[index] as FleetDaemon;
  }

  /** Advances the virtual clock by heartbeat intervals. */
  async run(intervals: number): Promise<void> {
    await this.clock.advance(intervals * heartbeatMs);
  }

  /** Stops a daemon without notice, as in a crash. */
  kill(daemon: FleetDaemon): void {
    daemon.membership.stop();
    this.network.setDown(daemon.id, true);
  }

  /** Restarts a killed daemon with a new incarnation. */
  async restart(daemon: FleetDaemon): Promise<void> {
    daemon.membership = this.createMembership(daemon);
    await this.startDaemon(daemon);
  }

  stop(): void {
    for (const {membership} of this.daemons) membership.stop();
  }

  private addDaemon(index: number, dataCentreIndex: number): void {
    const id = toId<DaemonId>(`entry-${index}`);
    const dataCentre = toId<DataCentreId>(`zone-${dataCentreIndex}`);
    const parts = {
      id,
      dataCentre,
      address: `http://10.0.0.${index}:7000`,
      transport: this.network.createTransport(id),
      state: createState(`${dataCentre}.${index}`, 1),
    };
    const membership = this.createMembership(parts);
    this.daemons.push({...parts, membership});
  }

  private createMembership(
    daemon: Omit<FleetDaemon, 'membership'>,
  ): Membership {
    this.incarnation += 1;
    return Membership.create({
      daemon: daemon.id,
      dataCentre: daemon.dataCentre,
      address: daemon.address,
      transport: daemon.transport,
      vmList: this.vmList,
      clock: this.clock,
      random: SeededRandom.create(this.incarnation),
      heartbeatMs,
      getOwnState: () => this.getState(daemon.id),
      incarnation: this.incarnation,
    });
  }

  private getState(id: DaemonId): OwnState {
    const daemon = this.daemons.find((candidate) => candidate.id === id);
    return (daemon as FleetDaemon).state;
  }

  private async startDaemon(daemon: FleetDaemon): Promise<void> {
    const {transport, membership} = daemon;
    transport.setHandler(async function* (_sender, request) {
      if (request.case !== 'heartbeat') return;
      const value = membership.handleHeartbeat(request.value);
      yield {case: 'heartbeat', value};
    });
    await transport.start();
    await membership.start();
  }
}

/** Creates the announced state of a daemon that holds one partition. */
export function createState(partition: string, epoch: number): OwnState {
  return {
    configVersion: 1,
    configHash: 'hash',
    reachesPlatform: true,
    isDraining: false,
    partitions: [{partition: toId(partition), epoch: toEpoch(epoch)}],
    quarantines: [],
  };
}
