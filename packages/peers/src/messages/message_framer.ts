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
export const maxFrameBytes = 32 * 2 ** 20;
/** Parts of a frame that are kept before they are joined. */
const maxParts = 256;

/** Reads and writes frames on one connection. */
export class MessageFramer {
  /** What has arrived of the next frame; joined once, when it is complete. */
  private parts: Buffer[] = [];
  private partBytes = 0;
  /** Bytes with which the next frame is complete, as far as is known. */
  private neededBytes = lengthBytes;
  private isCorked = false;

  private constructor(
    private readonly socket: Socket,
    private readonly onFrame: (frame: PeerFrame) => void,
    private readonly onWritten: (() => void) | undefined,
  ) {}

  /**
   * Attaches to a connection, which is destroyed if it sends invalid frames.
   * @param socket - Connection to read and write.
   * @param onFrame - Called for each received frame.
   * @param onWritten - Called when a frame has been passed to the system.
   */
  static attach(
    socket: Socket,
    onFrame: (frame: PeerFrame) => void,
    onWritten?: () => void,
  ): MessageFramer {
    const framer = new MessageFramer(socket, onFrame, onWritten);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => framer.handleChunk(chunk));
    return framer;
  }

  /** Bytes of the next frame, as far as it has announced them or they arrived. */
  get announcedBytes(): number {
    return this.partBytes === 0 ? 0 : this.neededBytes;
  }

  /** Bytes of the next frame that have arrived. */
  get incompleteBytes(): number {
    return this.partBytes;
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
    this.socket.write(bytes, this.onWritten);
    return lengthBytes + bytes.byteLength;
  }

  private handleChunk(chunk: Buffer): void {
    this.parts.push(chunk);
    this.partBytes += chunk.byteLength;
    const isComplete = this.partBytes >= this.neededBytes;
    if (!isComplete && this.parts.length <= maxParts) return;
    const received =
      this.parts.length === 1 ? chunk : Buffer.concat(this.parts);
    this.keep(received);
    if (isComplete) this.decodeFrames(received);
  }

  private keep(rest: Buffer): void {
    this.parts = rest.byteLength === 0 ? [] : [rest];
    this.partBytes = rest.byteLength;
  }

  private decodeFrames(received: Buffer): void {
    let offset = 0;
    this.neededBytes = lengthBytes;
    while (received.byteLength - offset >= lengthBytes) {
      const length = received.readUInt32LE(offset);
      const start = offset + lengthBytes;
      if (length > maxFrameBytes) {
        this.socket.destroy();
        return;
      }
      if (start + length > received.byteLength) {
        this.neededBytes = lengthBytes + length;
        break;
      }
      offset = start + length;
      if (!this.decodeFrame(received.subarray(start, offset))) return;
    }
    this.keep(received.subarray(offset));
  }

  private decodeFrame(bytes: Buffer): boolean {
    try {
      // The decoded frame may hold views of its input, which is not overwritten.
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
