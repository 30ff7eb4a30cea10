/** Interface for exchanging requests and replies between daemons. */
import type {DaemonId} from '@marigoldpost/common';
import type {
  PeerReply,
  PeerRequest,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

/** Body of a request, discriminated by `case`. */
export type PeerRequestBody = PeerRequest['body'];
/** Body of a reply, discriminated by `case`. */
export type PeerReplyBody = PeerReply['body'];

/** Address that a daemon serves its peers on. */
export interface PeerAddress {
  readonly daemon: DaemonId;
  /** `http://<ip>:<port>` or `https://<ip>:<port>`. */
  readonly address: string;
}

/** Timeout and abort signal of one exchange. */
export interface PeerExchangeOptions {
  /** Aborts the exchange and cancels it at the peer. */
  readonly signal?: AbortSignal;
  /** Maximum wait for the first reply, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Answers a peer's request with any number of replies. A thrown
 * `MarigoldpostError` reaches the requester with its kind and outcome.
 */
export type PeerHandler = (
  sender: DaemonId,
  request: PeerRequestBody,
  signal: AbortSignal,
) => AsyncIterable<PeerReplyBody>;

/** Sends requests to peers and serves theirs. */
export abstract class PeerTransport {
  /**
   * Sends a request and yields its replies. Throws `peer_unavailable` if the
   * request was certainly not sent, `peer_lost` if it was sent and the stream
   * closed or no reply arrived before the timeout, `too_large` or
   * `invalid_request` for a request that no message can carry.
   * @param peer - Daemon that handles the request.
   * @param request - Request to send.
   * @param options - Timeout and abort signal.
   */
  abstract exchange(
    peer: PeerAddress,
    request: PeerRequestBody,
    options: PeerExchangeOptions,
  ): AsyncIterable<PeerReplyBody>;

  /**
   * Sets the handler of peers' requests; earlier requests fail as `draining`.
   * @param handler - Answers each request with a series of replies.
   */
  abstract setHandler(handler: PeerHandler): void;

  /** Starts listening for peers. */
  abstract start(): Promise<void>;

  /** Stops listening and closes every stream. */
  abstract stop(): Promise<void>;

  /**
   * Sends a request that has exactly one reply; throws as `exchange` does. The
   * reply has an undefined `case` if the peer sent none.
   * @param peer - Daemon that handles the request.
   * @param request - Request to send.
   * @param options - Timeout and abort signal.
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
