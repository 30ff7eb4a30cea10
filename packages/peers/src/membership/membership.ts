/** Knows the other daemons by heartbeats. */
import {create, toBinary} from '@bufbuild/protobuf';
import {
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Fingerprint,
  type Random,
  type TargetId,
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
import {isConnectionRefused} from '../transport/connection_refused.js';
import type {PeerTransport} from '../transport/peer_transport.js';
import {ChangePublisher} from './change_publisher.js';
import type {MemberRecord} from './member_record.js';
import type {MemberSeed} from './member_seed.js';
import {MemberTable} from './member_table.js';
import type {MembershipListener} from './membership_listener.js';
import {selectNews, toFullNews} from './news_selection.js';
import {OwnHeartbeat} from './own_heartbeat.js';
import type {OwnState} from './own_state.js';
import {choosePeers, getRotationIntervals} from './peer_rotation.js';

const vmListIntervalMs = 10_000;
/** Intervals after which a silent daemon is suspect, at least. */
const suspectIntervals = 3;
const rotationsUntilSuspect = 1.5;
/** Share of an interval that must pass between two rounds of heartbeats. */
const minRoundGap = 0.25;
/** gRPC and HTTP/2 frame headers and the correlation of one message. */
const messageOverheadBytes = 24;

/** Options of a membership. */
export interface MembershipOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** Own `http://<ip>:<port>` for peers. */
  readonly address: string;
  readonly transport: PeerTransport;
  readonly vmList: VmList;
  readonly clock: Clock;
  readonly random: Random;
  /** Interval between two rounds of heartbeats. */
  readonly heartbeatMs: number;
  /** Asked at each heartbeat. */
  readonly getOwnState: () => OwnState;
  /** Tells daemons from targets in the VM list; all are tried by default. */
  readonly isDaemon?: (vm: Vm) => boolean;
  /** Must grow with each start; wall time in milliseconds by default. */
  readonly incarnation?: number;
}

/** Control traffic of one daemon since it started. */
export interface MembershipTraffic {
  /** Heartbeats and replies to them. */
  readonly sentMessages: number;
  readonly sentBytes: number;
}

/** View of the fleet that heartbeats keep current. */
export class Membership extends FleetView {
  private readonly table: MemberTable;
  private readonly own: OwnHeartbeat;
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
    this.own = OwnHeartbeat.create(
      {daemon, dataCentre, address, incarnation},
      options.getOwnState,
    );
  }

  /**
   * Creates a membership that knows nobody yet.
   * @param options - Who announces what, and how.
   */
  static create(options: MembershipOptions): Membership {
    return new Membership(options);
  }

  /** Reads the VM list once and starts the heartbeats. */
  async start(): Promise<void> {
    this.isRunning = true;
    await this.readVmList();
    this.beatAndRepeat();
  }

  /** Ends the heartbeats. */
  stop(): void {
    this.isRunning = false;
    this.heartbeatTimer?.cancel();
    this.vmListTimer?.cancel();
  }

  /**
   * Adds daemons that leases name.
   * @param seeds - Where they may be found.
   */
  addSeeds(seeds: readonly MemberSeed[]): void {
    for (const seed of seeds) this.table.addSeed(seed, true);
  }

  /** Sends a round of heartbeats now, after a change of the own state. */
  announceChange(): void {
    const {clock, heartbeatMs} = this.options;
    const sinceMs = clock.nowMs() - this.lastRoundMs;
    const waitMs = Math.max(0, heartbeatMs * minRoundGap - sinceMs);
    if (!this.isRunning) return;
    this.heartbeatTimer?.cancel();
    this.heartbeatTimer = clock.setTimer(waitMs, () => this.beatAndRepeat());
  }

  /**
   * Adds a listener; returns what removes it.
   * @param listener - Gets the notices.
   */
  addListener(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Takes in a peer's heartbeat and answers it.
   * @param heartbeat - The heartbeat.
   */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const {clock} = this.options;
    const time = {baseMs: clock.nowMs(), isReply: false};
    this.table.applyHeartbeat(heartbeat, time);
    this.notify(heartbeat);
    const own = heartbeat.wantsAllNews
      ? this.own.build(this.getAllNews(), false)
      : this.buildHeartbeat(false);
    this.countSent(own);
    return create(HeartbeatReplySchema, {own});
  }

  /** Gets the control traffic since the start. */
  getTraffic(): MembershipTraffic {
    return {sentMessages: this.sentMessages, sentBytes: this.sentBytes};
  }

  override getMembers(): readonly FleetMember[] {
    const toMember = this.createView();
    return this.table.getConfirmed().map(toMember);
  }

  override getMember(daemon: DaemonId): FleetMember | undefined {
    const record = this.table.getRecord(daemon);
    return record?.isConfirmed ? this.createView()(record) : undefined;
  }

  private beatAndRepeat(): void {
    const {clock, heartbeatMs} = this.options;
    this.lastRoundMs = clock.nowMs();
    this.sendRound();
    this.publishChanges();
    this.heartbeatTimer = clock.setTimer(heartbeatMs, () =>
      this.beatAndRepeat(),
    );
  }

  private sendRound(): void {
    const {dataCentre, random} = this.options;
    const records = this.table.getRecords();
    for (const record of choosePeers(records, dataCentre, random)) {
      void this.beat(record);
    }
  }

  private async beat(record: MemberRecord): Promise<void> {
    const sentAtMs = this.options.clock.nowMs();
    record.lastBeatMs = sentAtMs;
    record.isBeatPending = true;
    try {
      const reply = await this.ask(record);
      this.acceptReply(record, reply, sentAtMs);
    } catch (error) {
      record.noteMissed(sentAtMs, isConnectionRefused(error));
    } finally {
      record.isBeatPending = false;
    }
    this.publishChanges();
  }

  private async ask(record: MemberRecord): Promise<Heartbeat | undefined> {
    const heartbeat = this.buildHeartbeat(this.wantsAllNews);
    this.countSent(heartbeat);
    const {daemon, address} = record;
    const reply = await this.options.transport.ask(
      {daemon, address},
      {case: 'heartbeat', value: heartbeat},
      {timeoutMs: this.options.heartbeatMs * 2},
    );
    return reply.case === 'heartbeat' ? reply.value.own : undefined;
  }

  private acceptReply(
    record: MemberRecord,
    heartbeat: Heartbeat | undefined,
    sentAtMs: number,
  ): void {
    if (heartbeat?.daemon !== record.daemon) {
      record.noteMissed(sentAtMs, false);
      return;
    }
    this.wantsAllNews = false;
    this.table.applyHeartbeat(heartbeat, {baseMs: sentAtMs, isReply: true});
    this.notify(heartbeat);
  }

  private buildHeartbeat(wantsAllNews: boolean): Heartbeat {
    const {clock, random, dataCentre} = this.options;
    const news = selectNews(this.table.getConfirmed(), {
      nowMs: clock.nowMs(),
      random,
      ownDataCentre: dataCentre,
    });
    return this.own.build(news, wantsAllNews);
  }

  private getAllNews() {
    const nowMs = this.options.clock.nowMs();
    return this.table
      .getConfirmed()
      .filter((record) => record.revision >= 0)
      .map((record) => toFullNews(record, nowMs));
  }

  private countSent(heartbeat: Heartbeat): void {
    this.sentMessages += 1;
    this.sentBytes +=
      toBinary(HeartbeatSchema, heartbeat).byteLength + messageOverheadBytes;
  }

  private notify(heartbeat: Heartbeat): void {
    const {address, configHash: hash} = heartbeat;
    const daemon = toId<DaemonId>(heartbeat.daemon);
    const version = Number(heartbeat.configVersion);
    const notices = heartbeat.quarantines.map((quarantine) => ({
      fingerprint: toId<Fingerprint>(quarantine.fingerprint),
      version: Number(quarantine.version),
      deaths: quarantine.deaths.map(({target, atMs}) => ({
        target: toId<TargetId>(target),
        atMs,
      })),
    }));
    for (const listener of this.listeners) {
      listener.onConfigSeen?.({peer: {daemon, address}, version, hash});
      if (notices.length > 0) listener.onQuarantinesSeen?.(notices);
    }
    this.publishChanges();
  }

  private publishChanges(): void {
    this.publisher.publish(this.table.getConfirmed(), this.createView());
  }

  private createView(): (record: MemberRecord) => FleetMember {
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
      const waited = Math.max(
        suspectIntervals,
        intervals * rotationsUntilSuspect,
      );
      return record.toFleetMember(nowMs, waited * heartbeatMs);
    };
  }

  private async readVmList(): Promise<void> {
    const {vmList, clock, isDaemon} = this.options;
    try {
      const vms = await vmList.getVms();
      this.applyVms(isDaemon === undefined ? vms : vms.filter(isDaemon));
    } catch {
      // The platform is away: peers and leases still tell who is there.
    }
    if (!this.isRunning) return;
    this.vmListTimer = clock.setTimer(vmListIntervalMs, () => {
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
    this.table.removeLost(this.options.clock.nowMs(), gone);
  }
}
