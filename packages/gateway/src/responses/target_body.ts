/** Reads the body of a target's response and determines how it ended. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {isConnectionReset} from '@marigoldpost/common';
import {
  type BodyEnd,
  type BodyEndCause,
  type BodyFraming,
  getBodyProof,
} from './body_end.js';

const parserErrorPrefix = 'HPE_';
const normalCauses = {
  none: 'no_body',
  length: 'length_met',
  chunked: 'last_chunk',
} as const satisfies Partial<Record<BodyFraming, BodyEndCause>>;
/** Bytes and time that reading the rest of an unneeded body may take. */
const maxDiscardedBytes = 64 * 1024;
const maxDiscardMs = 1000;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Body of one response; it must be read once. */
export class TargetBody {
  private bytes = 0;
  /** Chunks that have arrived since the last call of the reader. */
  private pending: Buffer[] = [];
  private lastByteMs = 0;
  private silentMs = 0;
  private isReset = false;
  private hasExceeded = false;
  private abortMessage: string | undefined;
  private error: NodeJS.ErrnoException | undefined;
  /** How the target's response delimits its body. */
  readonly framing: BodyFraming;
  /** How the response on this connection does; differs if it was relayed. */
  private readonly ownFraming: BodyFraming;
  private readonly socket: Socket;
  private readonly onSocketEnd: () => void;

  private constructor(
    readonly response: IncomingMessage,
    method: string,
    relayedFraming: BodyFraming | undefined,
  ) {
    this.ownFraming = getBodyFraming(response, method);
    this.framing = relayedFraming ?? this.ownFraming;
    const {socket} = response;
    this.socket = socket;
    this.onSocketEnd = () => {
      if (isConnectionReset(socket)) this.isReset = true;
    };
    socket.prependListener('end', this.onSocketEnd);
    response.on('error', (error) => {
      this.error ??= error;
    });
  }

  /**
   * Creates the body of a response whose head has just arrived.
   * @param response - Response whose body has not been read.
   * @param method - Method of the request.
   * @param relayedFraming - How the target's response delimits its body, if
   *   another entry VM relayed it.
   */
  static create(
    response: IncomingMessage,
    method: string,
    relayedFraming?: BodyFraming,
  ): TargetBody {
    return new TargetBody(response, method, relayedFraming);
  }

  /**
   * Reads the body until the response closes; never rejects.
   * @param onChunk - Called with each part of the body. Chunks that arrive at
   *   the same time are one part, since the cost of a part does not depend on
   *   its size.
   */
  read(onChunk: (chunk: Buffer) => void): Promise<BodyEnd> {
    const {response, socket, onSocketEnd} = this;
    return new Promise((resolve) => {
      this.lastByteMs = performance.now();
      // Malformed bytes after the head, in the same packet, close the response
      // before its reader has got the head.
      if (response.closed) {
        resolve(this.createEnd());
        return;
      }
      const flush = () => this.flush(onChunk);
      response.on('data', (chunk: Buffer) => {
        this.recordSilence();
        this.bytes += chunk.byteLength;
        this.pending.push(chunk);
        if (this.pending.length === 1) queueMicrotask(flush);
      });
      response.once('close', () => {
        socket.removeListener('end', onSocketEnd);
        this.recordSilence();
        flush();
        resolve(this.createEnd());
      });
    });
  }

  /** Length that the response states; `undefined` if it has none. */
  get length(): number | undefined {
    if (this.ownFraming !== 'length') return undefined;
    return Number(this.response.headers['content-length']);
  }

  private flush(onChunk: (chunk: Buffer) => void): void {
    const {pending} = this;
    if (pending.length === 0) return;
    this.pending = [];
    const [first = Buffer.alloc(0)] = pending;
    onChunk(pending.length === 1 ? first : Buffer.concat(pending));
  }

  /**
   * Whether this daemon ended the body because it is too large or malformed, which
   * does not show that the target has crashed.
   */
  get isRejected(): boolean {
    return this.hasExceeded || isParserError(this.error);
  }

  /**
   * Closes the connection because the body is too large.
   * @param maxBytes - Most bytes that the body may occupy.
   */
  abortOversized(maxBytes: number): void {
    this.hasExceeded = true;
    this.abort(`the response exceeds ${maxBytes} bytes`);
  }

  /**
   * Closes the connection unless a body that nobody needs ends shortly; then
   * the connection can be reused.
   */
  discard(): void {
    const {response} = this;
    let size = 0;
    const timer = setTimeout(() => response.destroy(), maxDiscardMs);
    response.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size > maxDiscardedBytes) response.destroy();
    });
    response.once('close', () => clearTimeout(timer));
  }

  /**
   * Closes the connection before the body has ended.
   * @param message - Why the rest of the body is not read.
   */
  abort(message: string): void {
    this.abortMessage ??= message;
    this.response.destroy(new Error(message));
  }

  /**
   * Ends the body because its connection failed. Node.js reports a body that
   * only the end of the connection delimits as complete even then.
   * @param error - Error of the connection.
   */
  fail(error: NodeJS.ErrnoException): void {
    // A slow client may still be reading a body that has arrived completely.
    if (this.response.complete && this.ownFraming !== 'close') return;
    this.error ??= error;
    if (!isParserError(error)) this.isReset = true;
    this.response.destroy(error);
  }

  private recordSilence(): void {
    const nowMs = performance.now();
    this.silentMs = Math.max(this.silentMs, nowMs - this.lastByteMs);
    this.lastByteMs = nowMs;
  }

  private createEnd(): BodyEnd {
    const {framing, bytes} = this;
    const cause = this.getCause();
    const proof = getBodyProof(framing, cause);
    const message = proof === 'truncated' ? this.getMessage() : '';
    const silentMs = Math.round(this.silentMs);
    return {framing, cause, bytes, silentMs, proof, message};
  }

  private getCause(): BodyEndCause {
    const {response, framing, ownFraming, abortMessage, error} = this;
    if (abortMessage !== undefined) return 'aborted';
    const isEnded = response.complete && response.errored === null;
    if (isEnded && ownFraming !== 'close') {
      return framing === 'close' ? 'closed' : normalCauses[framing];
    }
    if (this.isReset) return 'reset';
    if (isParserError(error)) return 'malformed';
    // Only the relaying entry VM was lost: it ends a body by a last chunk.
    return framing === ownFraming ? 'closed' : 'reset';
  }

  private getMessage(): string {
    const {abortMessage, error} = this;
    return abortMessage ?? error?.message ?? 'the response was truncated';
  }
}

function isParserError(error: NodeJS.ErrnoException | undefined): boolean {
  return error?.code?.startsWith(parserErrorPrefix) === true;
}

function getBodyFraming(
  {statusCode = 0, headers}: IncomingMessage,
  method: string,
): BodyFraming {
  if (method === 'HEAD' || bodilessStatuses.has(statusCode)) return 'none';
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) {
    return /(?:^|,)\s*chunked\s*$/i.test(coding) ? 'chunked' : 'close';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
