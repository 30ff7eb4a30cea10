/**
 * Decides which connections of clients are accepted, refused and closed.
 *
 * Load pattern: very many connections at once, of clients that the operators do
 * not control: they send nothing, send without end, send many requests ahead, do
 * not read, or leave in the middle. Each costs memory and a descriptor, whether or
 * not a request is ever read from it.
 */
import type {Clock} from '../time/clock.js';

/** Why a connection was refused or closed. */
export type ConnectionEnd =
  'full' | 'replaced' | 'pipelined' | 'stalled' | 'buffered' | 'costly';

/** Limits on the connections of one process. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Requests that have been read and not answered, of one connection. */
  readonly maxPipelined: number;
  /** The same of all connections together. */
  readonly maxPending: number;
}

/** Memory and descriptors of the VM. */
export interface ProcessLimits {
  readonly memoryMb: number;
  /** `undefined` if the settings state none. */
  readonly maxDescriptors?: number | undefined;
}

/** Part of the descriptors and memory of a process that one port may take. */
export interface PortShare {
  readonly descriptorShare: number;
  readonly connectionsPerMb: number;
  /** Requests that have been read and not answered, of all connections. */
  readonly pendingPerMb: number;
  /** The same of one connection. */
  readonly maxPipelined: number;
}

/**
 * HTTP clients wait for a response before the next request, or send a few ahead.
 */
const httpPipelined = 16;
/** Peers send all their requests over one connection. */
const peerPipelined = 1000;

/**
 * Clients of an entry VM. An open connection with a head that has not ended takes
 * up to 40 KB, so that all take a fifth of the memory at most; a request takes
 * about 10 KB. An entry VM serves fewer than a hundred at a time.
 */
export const clientPortShare: PortShare = {
  descriptorShare: 1 / 2,
  connectionsPerMb: 5,
  pendingPerMb: 15,
  maxPipelined: httpPipelined,
};
/**
 * Entry VMs that relay requests over this one, each request over a connection of
 * its own. Node.js does not close a response that waits for an earlier one with its
 * connection, so a relay would not learn that its sender has left.
 */
export const relayPortShare: PortShare = {
  descriptorShare: 1 / 8,
  connectionsPerMb: 2,
  pendingPerMb: 4,
  maxPipelined: 1,
};
/** Daemons that send messages to an entry VM, each over one connection. */
export const peerPortShare: PortShare = {
  descriptorShare: 1 / 4,
  connectionsPerMb: 6,
  pendingPerMb: 15,
  maxPipelined: peerPipelined,
};
/** Daemons that send messages to an archive, which has no clients. */
export const archivePortShare: PortShare = {
  descriptorShare: 1 / 2,
  connectionsPerMb: 5,
  pendingPerMb: 30,
  maxPipelined: peerPipelined,
};
/** Monitoring and load balancers, which ask for a page now and then. */
export const pagePortShare: PortShare = {
  descriptorShare: 1 / 64,
  connectionsPerMb: 0.2,
  pendingPerMb: 0.5,
  maxPipelined: httpPipelined,
};
/** Descriptors without a stated limit, as the smallest sites have. */
const defaultDescriptors = 2200;
/**
 * A connection without a request is replaced by a new one only after this time,
 * in which an ordinary client sends its request.
 */
const minIdleMs = 1000;

/**
 * Gets the limits that keep a process within the memory and descriptors of its
 * VM.
 * @param limits - Memory and descriptors.
 * @param share - Part that the port may take.
 */
export function getConnectionLimits(
  {memoryMb, maxDescriptors = defaultDescriptors}: ProcessLimits,
  share: PortShare,
): ConnectionLimits {
  const byDescriptors = Math.floor(maxDescriptors * share.descriptorShare);
  const byMemory = Math.floor(memoryMb * share.connectionsPerMb);
  return {
    maxConnections: Math.max(1, Math.min(byDescriptors, byMemory)),
    maxPipelined: share.maxPipelined,
    maxPending: Math.max(1, Math.floor(memoryMb * share.pendingPerMb)),
  };
}

interface ConnectionState {
  /** Requests that have been read and not answered. */
  pending: number;
  /** Since when it has had none. */
  idleSinceMs: number;
}

/** What to do with a connection that has just been opened. */
export interface OpenDecision<Key> {
  readonly isAccepted: boolean;
  /** Idle connection to close in its place. */
  readonly replaced: Key | undefined;
}

/** Open connections of a server; does no input or output itself. */
export class ConnectionGuard<Key> {
  /** In the order in which they became idle, as far as they are. */
  private readonly states = new Map<Key, ConnectionState>();
  private pending = 0;

  private constructor(
    private readonly clock: Clock,
    private limits: ConnectionLimits,
  ) {}

  /**
   * Creates a guard without connections.
   * @param clock - Clock of the idle times.
   * @param limits - Limits on the connections.
   */
  static create<Key>(
    clock: Clock,
    limits: ConnectionLimits,
  ): ConnectionGuard<Key> {
    return new ConnectionGuard<Key>(clock, limits);
  }

  /** Open connections. */
  keys(): IterableIterator<Key> {
    return this.states.keys();
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.states.size;
  }

  /** Number of requests that have been read and not answered. */
  get pendingCount(): number {
    return this.pending;
  }

  /**
   * Whether half of the connections or pending requests are in use, so that clients
   * who do not read are a burden for others.
   */
  get isScarce(): boolean {
    const {maxConnections, maxPending} = this.limits;
    return (
      this.states.size * 2 >= maxConnections || this.pending * 2 >= maxPending
    );
  }

  /**
   * Decides about a connection that has been opened. When there is no room, the
   * one that has been idle for longest makes room if it has been for 1 s.
   * @param key - The connection.
   */
  open(key: Key): OpenDecision<Key> {
    const nowMs = this.clock.nowMs();
    const {maxConnections, maxPending} = this.limits;
    const isFull = this.states.size >= maxConnections;
    const replaced = isFull ? this.findOldestIdle(nowMs) : undefined;
    const hasNoRoom = isFull && replaced === undefined;
    // An idle connection has no pending request, so its end would not help.
    if (hasNoRoom || this.pending >= maxPending) {
      return {isAccepted: false, replaced: undefined};
    }
    if (replaced !== undefined) this.remove(replaced);
    this.states.set(key, {pending: 0, idleSinceMs: nowMs});
    return {isAccepted: true, replaced};
  }

  /**
   * Counts a request that has been read; false if the connection must be closed,
   * since it has sent too many ahead.
   * @param key - Connection of the request.
   */
  addRequest(key: Key): boolean {
    const state = this.states.get(key);
    if (state === undefined) return true;
    state.pending += 1;
    this.pending += 1;
    if (state.pending === 1) return true;
    const {maxPipelined, maxPending} = this.limits;
    return state.pending <= maxPipelined && this.pending <= maxPending;
  }

  /**
   * Counts a request that has been answered, or whose connection has closed.
   * @param key - Connection of the request.
   */
  endRequest(key: Key): void {
    const state = this.states.get(key);
    if (state === undefined || state.pending === 0) return;
    state.pending -= 1;
    this.pending -= 1;
    if (state.pending > 0) return;
    state.idleSinceMs = this.clock.nowMs();
    this.states.delete(key);
    this.states.set(key, state);
  }

  /**
   * Forgets a connection that has closed.
   * @param key - The connection.
   */
  remove(key: Key): void {
    const state = this.states.get(key);
    if (state === undefined) return;
    this.states.delete(key);
    this.pending -= state.pending;
  }

  private findOldestIdle(nowMs: number): Key | undefined {
    for (const [key, {pending, idleSinceMs}] of this.states) {
      if (pending > 0) continue;
      return nowMs - idleSinceMs >= minIdleMs ? key : undefined;
    }
    return undefined;
  }
}
