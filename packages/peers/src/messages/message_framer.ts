/** Frames on a TCP connection: 32-bit length, then an encoded `PeerFrame`. */
import type {Socket} from 'node:net';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {MarigoldpostError} from '@marigoldpost/common';
import {
  type PeerFrame,
  PeerFrameSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

const lengthBytes = 4;
/** Maximum frame size in bytes; a longer frame violates the protocol. */
const maxFrameBytes = 32 * 2 ** 20;

/** Reads and writes frames on one connection. */
export class MessageFramer {
  private received: Buffer = Buffer.alloc(0);
  private isCorked = false;

  private constructor(
    private readonly socket: Socket,
    private readonly onFrame: (frame: PeerFrame) => void,
  ) {}

  /**
   * Attaches to a connection, which is destroyed if it sends invalid frames.
   * @param socket - Connection to read and write.
   * @param onFrame - Called for each received frame.
   */
  static attach(
    socket: Socket,
    onFrame: (frame: PeerFrame) => void,
  ): MessageFramer {
    const framer = new MessageFramer(socket, onFrame);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => framer.handleChunk(chunk));
    return framer;
  }

  /** Bytes of the next frame that have arrived. */
  get incompleteBytes(): number {
    return this.received.byteLength;
  }

  /**
   * Sends a frame; gets its size in bytes. Frames of one iteration of the event
   * loop are written together. Throws `invalid_request` for a frame that cannot be
   * encoded, or that the peer would reject with all other exchanges of the
   * connection.
   * @param exchange - Number of the exchange that the frame belongs to.
   * @param body - Request, reply or end.
   */
  send(exchange: bigint, body: PeerFrame['body']): number {
    const frame = create(PeerFrameSchema, {exchange, body});
    const bytes = encodeFrame(frame);
    if (bytes.byteLength > maxFrameBytes) {
      throw MarigoldpostError.create(
        'invalid_request',
        `message of ${bytes.byteLength} bytes exceeds the limit of ${maxFrameBytes}`,
      );
    }
    const length = Buffer.allocUnsafe(lengthBytes);
    length.writeUInt32LE(bytes.byteLength, 0);
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      setImmediate(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(length);
    this.socket.write(bytes);
    return lengthBytes + bytes.byteLength;
  }

  private handleChunk(chunk: Buffer): void {
    this.received =
      this.received.byteLength === 0
        ? chunk
        : Buffer.concat([this.received, chunk]);
    let offset = 0;
    while (this.received.byteLength - offset >= lengthBytes) {
      const length = this.received.readUInt32LE(offset);
      const start = offset + lengthBytes;
      if (length > maxFrameBytes) {
        this.socket.destroy();
        return;
      }
      if (start + length > this.received.byteLength) break;
      offset = start + length;
      if (!this.decodeFrame(this.received.subarray(start, offset))) return;
    }
    this.received = this.received.subarray(offset);
  }

  private decodeFrame(bytes: Buffer): boolean {
    try {
      // The decoded frame may hold views of its input. A later chunk replaces
      // `received` and does not overwrite it.
      this.onFrame(fromBinary(PeerFrameSchema, bytes));
      return true;
    } catch (error) {
      this.socket.destroy(error instanceof Error ? error : undefined);
      return false;
    }
  }
}

function encodeFrame(frame: PeerFrame): Uint8Array {
  try {
    return toBinary(PeerFrameSchema, frame);
  } catch (error) {
    const cause = error instanceof Error ? error : new Error(String(error));
    throw MarigoldpostError.create(
      'invalid_request',
      `message cannot be encoded: ${cause.message}`,
      {cause},
    );
  }
}
