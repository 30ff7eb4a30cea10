/** Sends one request to a target through another entry VM. */
import http from 'node:http';
import type {DaemonId, TargetId} from '@marigoldpost/common';
import {TargetBody} from '../responses/target_body.js';
import {
  type ExchangeOutcome,
  type FailedExchange,
  type FailExchange,
  type FailureReason,
  HttpExchange,
  type HttpExchangeOptions,
} from '../targets/http_exchange.js';
import {
  decodeRelayFailure,
  decodeRelayFraming,
  decodeRelayInstance,
  encodeRelayParameters,
  omitRelayHeaders,
} from './relay_codec.js';

/** Entry VM that relays requests for others. */
export interface RelayPeer {
  readonly daemon: DaemonId;
  /** `http://<ip>:<port>` of its relay server. */
  readonly relayAddress: string;
}

/** Relaying entry VM, target, request and limits of an exchange. */
export interface PeerExchangeOptions extends HttpExchangeOptions {
  /** The own entry VM. */
  readonly sender: DaemonId;
  readonly peer: RelayPeer;
  readonly target: TargetId;
}

/** One request over one hop; the target's response proves what it says. */
export class PeerExchange extends HttpExchange {
  private constructor(private readonly options: PeerExchangeOptions) {
    super(options);
  }

  /**
   * Sends a request and waits for the head of the target's response; never
   * rejects.
   * @param options - Relaying entry VM, target, request and limits.
   */
  static send(options: PeerExchangeOptions): Promise<ExchangeOutcome> {
    return new PeerExchange(options).run();
  }

  protected override createRequest(): http.ClientRequest {
    const {peer, request, sender, target, headTimeoutMs} = this.options;
    const {hostname, port} = new URL(peer.relayAddress);
    const {method, path, headers, body} = request;
    const parameters = encodeRelayParameters({sender, target, headTimeoutMs});
    const sent = http.request({
      // A connection that was kept could be closed by the relaying entry VM at
      // this moment; a new one tells whether the request was sent.
      agent: false,
      host: hostname,
      port,
      method,
      path,
      headers: [
        ...omitRelayHeaders(headers),
        ...parameters,
        'Connection',
        'close',
      ] as unknown as http.OutgoingHttpHeaders,
    });
    sent.setNoDelay(true);
    sent.end(body);
    return sent;
  }

  protected override handleHead(
    response: http.IncomingMessage,
    fail: FailExchange,
  ): void {
    const {codec, request, peer} = this.options;
    const {headers, statusCode: status = 0} = response;
    const failure = decodeRelayFailure(headers);
    const targetStartedAtMs = decodeRelayInstance(headers);
    if (failure !== undefined) {
      response.resume();
      const {reason, isSent, isPeerFault, isLeaving} = failure;
      const cause = isLeaving ? 'the target is leaving' : reason;
      const message = `${peer.daemon} could not relay the request: ${cause}`;
      const failedPeer = isPeerFault ? peer.daemon : undefined;
      const leavingSource = isLeaving ? peer.daemon : undefined;
      this.settle({
        kind: 'failed',
        reason,
        isSent,
        message,
        failedPeer,
        leavingSource,
        ...(targetStartedAtMs === undefined ? {} : {targetStartedAtMs}),
      });
      return;
    }
    const framing = decodeRelayFraming(headers);
    const body = TargetBody.create(response, request.method, framing);
    this.setBody(body);
    if (framing === undefined) {
      fail('broken', `${peer.daemon} sent a response of another protocol`);
      return;
    }
    const attributes = codec.decodeResponse(status, headers);
    this.settleResponse(body, attributes, targetStartedAtMs);
  }

  protected override createFailure(
    reason: FailureReason,
    isSent: boolean,
    message: string,
  ): FailedExchange {
    const {daemon} = this.options.peer;
    const text = `${message} (through ${daemon})`;
    // A missing response may be the target's fault as well.
    const isPeerFault = reason === 'broken' || reason === 'unreachable';
    const failedPeer = isPeerFault ? daemon : undefined;
    return {kind: 'failed', reason, isSent, message: text, failedPeer};
  }
}
