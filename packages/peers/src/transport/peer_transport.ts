/** Exchange of requests and replies between daemons. */
import type {DaemonId} from '@marigoldpost/common';
import type {
  PeerReply,
  PeerRequest,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** Body of a request; `case` tells which. */
export type PeerRequestBody = PeerRequest['body'];
/** Body of a reply; `case` tells which. */
export type PeerReplyBody = PeerReply['body'];

/** Where a daemon listens for its peers. */
export interface PeerAddress {
  readonly daemon: DaemonId;
  /** `http://<ip>:<port>` or `https://<ip>:<port>`. */
  readonly address: string;
}

/** Options of one exchange. */
export interface PeerExchangeOptions {
  /** Gives up, and tells the peer so. */
  readonly signal?: AbortSignal;
  /** Longest wait for the first reply, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Answers a peer's request with any number of replies. A thrown error of the
 * project reaches the requester with its kind and outcome.
 */
export type PeerHandler = (
  sender: DaemonId,
  request: PeerRequestBody,
  signal: AbortSignal,
) => AsyncIterable<PeerReplyBody>;

/** Sends requests to peers and serves theirs. */
export abstract class PeerTransport {
  /**
   * Sends a request. Throws `peer_unavailable` when it was surely not handed
   * over, `peer_lost` when the stream broke after that.
   * @param peer - The daemon to ask.
   * @param request - The request.
   * @param options - When to give up.
   */
  abstract exchange(
    peer: PeerAddress,
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody>;

  /**
   * Sets what answers peers' requests.
   * @param handler - The handler.
   */
  abstract setHandler(handler: PeerHandler): void;

  /** Starts to listen. */
  abstract start(): Promise<void>;

  /** Ends every stream. */
  abstract stop(): Promise<void>;

  /**
   * Sends a request that has exactly one reply.
   * @param peer - The daemon to ask.
   * @param request - The request.
   * @param options - When to give up.
   */
  async ask(
    peer: PeerAddress,
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): Promise<PeerReplyBody> {
    for await (const reply of this.exchange(peer, request, options)) {
      return reply;
    }
    return {case: undefined};
  }
}
