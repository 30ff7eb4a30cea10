/**
 * Chooses the entry VM that relays a request. Load pattern: several entry VMs,
 * a whole data centre or most of a site lose their links at the same moment.
 * Those that still have theirs must share the load, and are not known at first.
 */
import type {Clock, DaemonId, DataCentreId, Random} from '@marigoldpost/common';
import type {RelayPeer} from './peer_exchange.js';

/** Time for which an entry VM is passed over after its first failure. */
const firstPassOverMs = 400;
const maxPassOverMs = 3000;
/** Time for which an entry VM that has relayed counts as able to. */
const provenMs = 5000;
/** Share of the requests that try an entry VM that is not proven. */
const explorationShare = 0.2;

/** Load for which another data centre, with its delay and price, counts. */
const remoteLoad = 2;

/** Relaying entry VM with its data centre. */
export interface RelayMember extends RelayPeer {
  readonly dataCentre: DataCentreId;
}

/** Entry VMs, clock and randomness of a choice. */
export interface RelayPeersOptions {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: Random;
  readonly getMembers: () => readonly RelayMember[];
}

interface PeerState {
  inFlight: number;
  failuresInRow: number;
  passedOverUntilMs: number;
  provenUntilMs: number;
}

/** Entry VMs that may relay, and how they did so far. */
export class RelayPeers {
  private readonly states = new Map<DaemonId, PeerState>();

  private constructor(private readonly options: RelayPeersOptions) {}

  /**
   * Creates a choice without experience.
   * @param options - Entry VMs, clock and randomness.
   */
  static create(options: RelayPeersOptions): RelayPeers {
    return new RelayPeers(options);
  }

  /**
   * Chooses an entry VM; `undefined` if none is left.
   * @param excluded - Entry VMs that have already failed the request.
   */
  choose(excluded: ReadonlySet<DaemonId>): RelayMember | undefined {
    const {clock, random, daemon, getMembers} = this.options;
    const nowMs = clock.nowMs();
    const members = getMembers().filter(
      (member) =>
        member.daemon !== daemon &&
        !excluded.has(member.daemon) &&
        this.getState(member.daemon).passedOverUntilMs <= nowMs,
    );
    const proven = members.filter(
      (member) => this.getState(member.daemon).provenUntilMs > nowMs,
    );
    const unproven = members.filter((member) => !proven.includes(member));
    const explores = proven.length === 0 || random.next() < explorationShare;
    const preferred = explores && unproven.length > 0 ? unproven : proven;
    return this.chooseLessLoaded(preferred);
  }

  /**
   * Finds an entry VM; `undefined` if it is not listed.
   * @param daemon - The entry VM.
   */
  find(daemon: DaemonId): RelayMember | undefined {
    return this.options.getMembers().find((member) => member.daemon === daemon);
  }

  /**
   * Records that a request was sent to an entry VM.
   * @param daemon - The entry VM.
   */
  recordSend(daemon: DaemonId): void {
    this.getState(daemon).inFlight += 1;
  }

  /**
   * Records that a relayed exchange has ended.
   * @param daemon - The entry VM.
   */
  recordEnd(daemon: DaemonId): void {
    this.getState(daemon).inFlight -= 1;
  }

  /**
   * Records that an entry VM has reached a target.
   * @param daemon - The entry VM.
   */
  recordSuccess(daemon: DaemonId): void {
    const state = this.getState(daemon);
    state.failuresInRow = 0;
    state.provenUntilMs = this.options.clock.nowMs() + provenMs;
  }

  /**
   * Records that an entry VM did not reach a target. One that has reached
   * others lately is not at fault; the target may be down.
   * @param daemon - The entry VM.
   */
  recordUnreached(daemon: DaemonId): void {
    const {provenUntilMs} = this.getState(daemon);
    if (provenUntilMs <= this.options.clock.nowMs()) this.recordFailure(daemon);
  }

  /**
   * Records that an entry VM could not relay a request.
   * @param daemon - The entry VM.
   */
  recordFailure(daemon: DaemonId): void {
    const state = this.getState(daemon);
    const nowMs = this.options.clock.nowMs();
    const passOverMs = firstPassOverMs * 2 ** state.failuresInRow;
    state.passedOverUntilMs = nowMs + Math.min(maxPassOverMs, passOverMs);
    state.failuresInRow += 1;
    state.provenUntilMs = nowMs;
  }

  /**
   * Takes the less loaded of two random members, so that the only one that is
   * left in a data centre does not get all requests of the others there.
   */
  private chooseLessLoaded(
    members: readonly RelayMember[],
  ): RelayMember | undefined {
    const {random} = this.options;
    const pick = () => members[Math.floor(random.next() * members.length)];
    const first = pick();
    const second = pick();
    if (first === undefined || second === undefined) return first;
    return this.getLoad(second) < this.getLoad(first) ? second : first;
  }

  private getLoad({daemon, dataCentre}: RelayMember): number {
    const isRemote = dataCentre !== this.options.dataCentre;
    const {inFlight} = this.getState(daemon);
    return isRemote ? inFlight + remoteLoad : inFlight;
  }

  private getState(daemon: DaemonId): PeerState {
    const known = this.states.get(daemon);
    if (known !== undefined) return known;
    const added = {
      inFlight: 0,
      failuresInRow: 0,
      passedOverUntilMs: 0,
      provenUntilMs: 0,
    };
    this.states.set(daemon, added);
    return added;
  }
}
