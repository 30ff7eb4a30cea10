/** Fleet membership and failure detection by heartbeats and gossip. */
import {create, toBinary} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Random,
  type Timer,
  toId,
} from '@marigoldpost/common';
import {
  FleetView,
  type FleetMember,
  type Vm,
  type VmList,
} from '@marigoldpost/platform';
import {
  type Heartbeat,
  type HeartbeatReply,
  HeartbeatReplySchema,
  HeartbeatSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {fromQuarantineMessage} from '../messages/quarantine_codec.js';
import {isConnectionRefused} from '../transport/connection_refused.js';
import type {PeerTransport} from '../transport/peer_transport.js';
import {ChangePublisher} from './change_publisher.js';
import type {MemberRecord} from './member_record.js';
import type {MemberSeed} from './member_seed.js';
import {MemberTable} from './member_table.js';
import type {MembershipListener} from './membership_listener.js';
import {selectGossip, toFullEntry} from './gossip_selection.js';
import {HeartbeatBuilder} from './heartbeat_builder.js';
import type {OwnState} from './own_state.js';
import {selectPeers, getRotationIntervals} from './peer_rotation.js';

const vmListRefreshMs = 10_000;
/** Minimum number of silent intervals before a daemon is suspect. */
const minSuspectIntervals = 3;
/** Rotations through all peers without contact before one is suspect. */
const rotationsUntilSuspect = 1.5;
/** Minimum gap between two heartbeat rounds, as a share of the interval. */
const minRoundGapShare = 0.25;
/** gRPC and HTTP/2 frame headers and exchange number of one message. */
const messageOverheadBytes = 24;

/** Identity, dependencies and timing of a membership. */
export interface MembershipOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` that this daemon serves peers on. */
  readonly address: string;
  readonly transport: PeerTransport;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly random: Random;
  /** Interval between two rounds of heartbeats. */
  readonly heartbeatMs: number;
  /** Called for each heartbeat that is built. */
  readonly getOwnState: () => OwnState;
  /** Selects daemons in the VM list, which also has targets; default: all. */
  readonly isDaemon?: (vm: Vm) => boolean;
  /** Must increase with each start; default: wall time in milliseconds. */
  readonly incarnation?: number;
}

/** Heartbeat traffic that one daemon has sent since it started. */
export interface MembershipTraffic {
  /** Number of heartbeats and replies to heartbeats. */
  readonly sentMessages: number;
  readonly sentBytes: number;
}

/** Fleet view that is updated by heartbeats and gossip. */
export class Membership extends FleetView {
  private readonly table: MemberTable;
  private readonly own: HeartbeatBuilder;
  private readonly listeners = new Set<MembershipListener>();
  private readonly publisher = ChangePublisher.create(this.listeners);
  private heartbeatTimer: Timer | undefined;
  private vmListTimer: Timer | undefined;
  private isRunning = false;
  private lastRoundMs = Number.NEGATIVE_INFINITY;
  private wantsAllNews = true;
  private sentMessages = 0;
  private sentBytes = 0;

  private constructor(private readonly options: MembershipOptions) {
    super();
    const {daemon, dataCentre, address, clock} = options;
    const incarnation = options.incarnation ?? Math.floor(clock.wallTimeMs());
    this.table = MemberTable.create(daemon);
    this.own = HeartbeatBuilder.create(
      {daemon, dataCentre, address, incarnation},
      options.getOwnState,
    );
  }

  /**
   * Creates a membership without members; `start` reads the VM list.
   * @param options - Identity, dependencies and timing.
   */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Reads the VM list once, then starts heartbeats and VM list refreshes. */
  async start(): Promise<void> {
    this.isRunning = true;
    await this.readVmList();
    this.runHeartbeatRound();
  }

  /** Cancels heartbeats and VM list refreshes. */
  stop(): void {
    this.isRunning = false;
    this.heartbeatTimer?.cancel();
    this.vmListTimer?.cancel();
  }

  /**
   * Adds daemons that leases name; they count as confirmed members.
   * @param seeds - Data centres and addresses to contact them at.
   */
  addSeeds(seeds: readonly MemberSeed[]): void {
    for (const seed of seeds) this.table.addSeed(seed, true);
  }

  /**
   * Brings the next heartbeat round forward after a change of the own state.
   * Rounds stay at least a quarter of an interval apart.
   */
  announceChange(): void {
    const {clock, heartbeatMs} = this.options;
    const sinceMs = clock.nowMs() - this.lastRoundMs;
    const waitMs = Math.max(0, heartbeatMs * minRoundGapShare - sinceMs);
    if (!this.isRunning) return;
    this.heartbeatTimer?.cancel();
    this.heartbeatTimer = clock.setTimer(waitMs, () =>
      this.runHeartbeatRound(),
    );
  }

  /**
   * Adds a listener and returns a function that removes it.
   * @param listener - Notified of members, configurations and quarantines.
   */
  addListener(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Merges a peer's heartbeat and creates the reply to it.
   * @param heartbeat - Heartbeat as received.
   */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const {clock} = this.options;
    const time = {baseMs: clock.nowMs(), isReply: false};
    this.table.applyHeartbeat(heartbeat, time);
    this.notifyListeners(heartbeat);
    const own = heartbeat.wantsAllNews
      ? this.own.build(this.getAllGossip(), false)
      : this.buildHeartbeat(false);
    this.recordSentHeartbeat(own);
    return create(HeartbeatReplySchema, {own});
  }

  /** Gets the heartbeat traffic sent since the start. */
  getTraffic(): MembershipTraffic {
    return {sentMessages: this.sentMessages, sentBytes: this.sentBytes};
  }

  override getMembers(): readonly FleetMember[] {
    const toMember = this.createMemberMapper();
    return this.table.getConfirmed().map(toMember);
  }

  override getMember(daemon: DaemonId): FleetMember | undefined {
    const record = this.table.getRecord(daemon);
    return record?.isConfirmed ? this.createMemberMapper()(record) : undefined;
  }

  private runHeartbeatRound(): void {
    const {clock, heartbeatMs} = this.options;
    this.lastRoundMs = clock.nowMs();
    this.sendHeartbeats();
    this.publishChanges();
    this.heartbeatTimer = clock.setTimer(heartbeatMs, () =>
      this.runHeartbeatRound(),
    );
  }

  private sendHeartbeats(): void {
    const {dataCentre, random} = this.options;
    const records = this.table.getRecords();
    for (const record of selectPeers(records, dataCentre, random)) {
      void this.sendHeartbeat(record);
    }
  }

  private async sendHeartbeat(record: MemberRecord): Promise<void> {
    const sentAtMs = this.options.clock.nowMs();
    record.lastHeartbeatMs = sentAtMs;
    record.isHeartbeatPending = true;
    try {
      const reply = await this.requestHeartbeat(record);
      this.handleReply(record, reply, sentAtMs);
    } catch (error) {
      record.recordMissedHeartbeat(sentAtMs, isConnectionRefused(error));
    } finally {
      record.isHeartbeatPending = false;
    }
    this.publishChanges();
  }

  private async requestHeartbeat(
    record: MemberRecord,
  ): Promise<Heartbeat | undefined> {
    const heartbeat = this.buildHeartbeat(this.wantsAllNews);
    this.recordSentHeartbeat(heartbeat);
    const {daemon, address} = record;
    const reply = await this.options.transport.ask(
      {daemon, address},
      {case: 'heartbeat', value: heartbeat},
      {timeoutMs: this.options.heartbeatMs * 2},
    );
    return reply.case === 'heartbeat' ? reply.value.own : undefined;
  }

  private handleReply(
    record: MemberRecord,
    heartbeat: Heartbeat | undefined,
    sentAtMs: number,
  ): void {
    if (heartbeat?.daemon !== record.daemon) {
      record.recordMissedHeartbeat(sentAtMs, false);
      return;
    }
    this.wantsAllNews = false;
    this.table.applyHeartbeat(heartbeat, {baseMs: sentAtMs, isReply: true});
    this.notifyListeners(heartbeat);
  }

  private buildHeartbeat(wantsAllNews: boolean): Heartbeat {
    const {clock, random, dataCentre} = this.options;
    const news = selectGossip(this.table.getConfirmed(), {
      nowMs: clock.nowMs(),
      random,
      ownDataCentre: dataCentre,
    });
    return this.own.build(news, wantsAllNews);
  }

  private getAllGossip() {
    const nowMs = this.options.clock.nowMs();
    return this.table
      .getConfirmed()
      .filter((record) => record.revision >= 0)
      .map((record) => toFullEntry(record, nowMs));
  }

  private recordSentHeartbeat(heartbeat: Heartbeat): void {
    this.sentMessages += 1;
    this.sentBytes +=
      toBinary(HeartbeatSchema, heartbeat).byteLength + messageOverheadBytes;
  }

  private notifyListeners(heartbeat: Heartbeat): void {
    const {address, configHash: hash} = heartbeat;
    const daemon = toId<DaemonId>(heartbeat.daemon);
    const version = Number(heartbeat.configVersion);
    const quarantines = heartbeat.quarantines.map(fromQuarantineMessage);
    for (const listener of this.listeners) {
      listener.onConfigVersionReceived?.({
        peer: {daemon, address},
        version,
        hash,
      });
      if (quarantines.length > 0) listener.onQuarantinesReceived?.(quarantines);
    }
    this.publishChanges();
  }

  private publishChanges(): void {
    this.publisher.publish(
      this.table.getConfirmed(),
      this.createMemberMapper(),
    );
  }

  private createMemberMapper(): (record: MemberRecord) => FleetMember {
    const {clock, dataCentre, heartbeatMs} = this.options;
    const nowMs = clock.nowMs();
    const records = this.table.getConfirmed();
    const isLocal = (record: MemberRecord) => record.dataCentre === dataCentre;
    const localCount = records.filter(isLocal).length;
    const rotation = getRotationIntervals(
      localCount,
      records.length - localCount,
    );
    return (record) => {
      const intervals = isLocal(record) ? rotation.local : rotation.remote;
      const suspectAfterIntervals = Math.max(
        minSuspectIntervals,
        intervals * rotationsUntilSuspect,
      );
      return record.toFleetMember(nowMs, suspectAfterIntervals * heartbeatMs);
    };
  }

  private async readVmList(): Promise<void> {
    const {vmList, clock, isDaemon} = this.options;
    try {
      const vms = await vmList.getVms();
      this.applyVms(isDaemon === undefined ? vms : vms.filter(isDaemon));
    } catch {
      // The platform is unavailable. Peers and leases still provide members.
    }
    if (!this.isRunning) return;
    this.vmListTimer = clock.setTimer(vmListRefreshMs, () => {
      void this.readVmList();
    });
  }

  private applyVms(vms: readonly Vm[]): void {
    const gone = new Set<DaemonId>();
    for (const {name, dataCentre, address, state} of vms) {
      const daemon = toId<DaemonId>(name);
      if (state === 'gone') gone.add(daemon);
      else this.table.addSeed({daemon, dataCentre, address}, false);
    }
    this.table.removeDeparted(this.options.clock.nowMs(), gone);
  }
}
