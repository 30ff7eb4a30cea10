/** Sends one attempt to a target, directly or through another entry VM. */
import {connect} from 'node:net';
import type {Clock, DaemonId} from '@marigoldpost/common';
import type {CallCodec, TargetEntry} from '@marigoldpost/sites';
import type {LinkMonitor, LinkState} from '../links/link_monitor.js';
import type {LinkProber} from '../links/link_prober.js';
import {PeerExchange, type RelayPeer} from '../relay/peer_exchange.js';
import type {RelayPeers} from '../relay/relay_peers.js';
import type {
  ExchangeOutcome,
  FailedExchange,
  TargetRequest,
} from '../targets/http_exchange.js';
import type {TargetAgents} from '../targets/target_agents.js';
import {TargetExchange} from '../targets/target_exchange.js';
import {canConnect} from '../targets/wait_for_connect.js';

/** Entry VMs that one attempt is handed to while none of them sends it. */
const maxPeers = 3;
/** A target that has not responded for this long is probed. */
const responseCheckMs = 300;

/** Components that send requests. */
export interface TargetSenderOptions {
  readonly daemon: DaemonId;
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly agents: TargetAgents;
  readonly links: LinkMonitor;
  readonly prober: LinkProber;
  readonly peers: RelayPeers;
}

/** Why an attempt goes through another entry VM. */
export interface AttemptRelay {
  readonly peer: DaemonId;
  readonly linkState: LinkState;
  readonly isIsolated: boolean;
}

/** One attempt of a call. */
export interface Attempt {
  readonly target: TargetEntry;
  /** Creates the request with the time that is left. */
  readonly createRequest: () => TargetRequest;
  /** Gets the timeout for the head of the response, from now. */
  readonly getHeadTimeoutMs: () => number;
  readonly signal: AbortSignal;
  /** Called before the request is handed to another entry VM. */
  readonly onRelay: (relay: AttemptRelay) => void;
}

/** How an attempt went. */
export interface SentAttempt {
  readonly outcome: ExchangeOutcome;
  /** Entry VM that relayed it; `undefined` if it went directly. */
  readonly peer: DaemonId | undefined;
  /** The target as the instance that received it, where its list entry lags. */
  readonly receiver: TargetEntry;
}

/** Decides by which way a request goes; sends it on one way only. */
export class TargetSender {
  private constructor(private readonly options: TargetSenderOptions) {}

  /**
   * Creates a sender.
   * @param options - Links, agents and other entry VMs.
   */
  static create(options: TargetSenderOptions): TargetSender {
    return new TargetSender(options);
  }

  /**
   * Sends an attempt. Another way is tried only while the request has surely
   * not been sent.
   * @param attempt - Target and request.
   */
  async send(attempt: Attempt): Promise<SentAttempt> {
    const {links} = this.options;
    const {target} = attempt;
    let failure: FailedExchange | undefined;
    if (!links.isCut(target)) {
      const outcome = await this.sendDirectly(attempt);
      if (!isUnreachable(outcome)) {
        if (outcome.kind !== 'failed') links.recordReached(target);
        return {outcome, peer: undefined, receiver: target};
      }
      links.recordConnectFailure(target, outcome.message);
      failure = outcome;
    }
    return this.sendThroughPeers(attempt, failure);
  }

  /**
   * Whether an entry VM accepts requests to relay, so that it has not ended.
   * @param daemon - Entry VM that relayed a request.
   */
  async isPeerRunning(daemon: DaemonId): Promise<boolean> {
    const peer = this.options.peers.find(daemon);
    if (peer === undefined) return false;
    return canConnect(() => {
      const {hostname, port} = new URL(peer.relayAddress);
      return connect({host: hostname, port: Number(port)});
    }, this.options.clock);
  }

  private async sendDirectly({
    target,
    createRequest,
    getHeadTimeoutMs,
    signal,
  }: Attempt): Promise<ExchangeOutcome> {
    const {clock, codec, agents, links, prober} = this.options;
    const sentAtMs = clock.nowMs();
    const timer = clock.setTimer(responseCheckMs, () => {
      if (links.hasRespondedSince(target, sentAtMs)) return;
      void prober.check(target);
    });
    const outcome = await TargetExchange.send({
      target,
      agent: agents.get(target),
      codec,
      request: createRequest(),
      headTimeoutMs: getHeadTimeoutMs(),
      signal,
    });
    timer.cancel();
    return outcome;
  }

  private async sendThroughPeers(
    attempt: Attempt,
    failure: FailedExchange | undefined,
  ): Promise<SentAttempt> {
    const {links, peers} = this.options;
    const {target, signal} = attempt;
    const excluded = new Set<DaemonId>();
    // Of a target that is down, one entry VM is asked whether it is back.
    const isDown = links.getState(target) === 'target_down';
    const maxUnreached = isDown ? 1 : maxPeers;
    const unreached: DaemonId[] = [];
    const mayAsk = links.mayAskPeers(target);
    while (mayAsk && excluded.size < maxPeers && !signal.aborted) {
      if (unreached.length >= maxUnreached) break;
      const peer = peers.choose(excluded);
      if (peer === undefined) break;
      excluded.add(peer.daemon);
      const outcome = await this.sendThroughPeer(attempt, peer);
      if (isUnreachable(outcome) && outcome.leavingSource === undefined) {
        if (outcome.failedPeer !== undefined) {
          peers.recordFailure(peer.daemon);
        } else {
          peers.recordUnreached(peer.daemon);
          unreached.push(peer.daemon);
        }
        continue;
      }
      if (outcome.kind === 'failed') {
        if (outcome.failedPeer !== undefined) peers.recordFailure(peer.daemon);
      } else {
        peers.recordSuccess(peer.daemon);
        links.recordReachedByPeer(target, peer.daemon);
      }
      const startedAtMs = outcome.targetStartedAtMs ?? target.startedAtMs;
      const receiver = {...target, startedAtMs};
      return {outcome, peer: peer.daemon, receiver};
    }
    // One alone may have lost its own link without knowing it yet.
    const [last] = unreached.slice(-1);
    if (last !== undefined) links.recordUnreachedByPeer(target, last);
    const message = `no entry VM of ${excluded.size} reaches the target`;
    const outcome = failure ?? createFailure(message);
    return {outcome, peer: undefined, receiver: target};
  }

  private async sendThroughPeer(
    {target, createRequest, getHeadTimeoutMs, signal, onRelay}: Attempt,
    peer: RelayPeer,
  ): Promise<ExchangeOutcome> {
    const {daemon, codec, links, peers} = this.options;
    const linkState = links.getState(target);
    onRelay({peer: peer.daemon, linkState, isIsolated: links.isIsolated});
    peers.recordSend(peer.daemon);
    const outcome = await PeerExchange.send({
      sender: daemon,
      peer,
      target: target.id,
      codec,
      request: createRequest(),
      headTimeoutMs: getHeadTimeoutMs(),
      signal,
    });
    if (outcome.kind !== 'answer') {
      peers.recordEnd(peer.daemon);
      return outcome;
    }
    outcome.response.once('close', () => peers.recordEnd(peer.daemon));
    return outcome;
  }
}

/** An exchange that has surely not sent its request. */
type UnsentExchange = FailedExchange & {
  readonly reason: 'unreachable';
  readonly isSent: false;
};

function isUnreachable(outcome: ExchangeOutcome): outcome is UnsentExchange {
  return (
    outcome.kind === 'failed' &&
    outcome.reason === 'unreachable' &&
    !outcome.isSent
  );
}

function createFailure(message: string): FailedExchange {
  return {kind: 'failed', reason: 'unreachable', isSent: false, message};
}
