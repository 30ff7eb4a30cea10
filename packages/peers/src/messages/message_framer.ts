/** Frames on a TCP connection: length, then an encoded `PeerFrame`. */
import type {Socket} from 'node:net';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  type PeerFrame,
  PeerFrameSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';

const lengthBytes = 4;
/** Largest frame, in bytes; a longer one is no frame of this protocol. */
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
   * Takes over a connection; one that sends no frames is destroyed.
   * @param socket - The connection.
   * @param onFrame - Called for each frame received.
   */
  static attach(
    socket: Socket,
    onFrame: (frame: PeerFrame) => void,
  ): MessageFramer {
    const framer = new MessageFramer(socket, onFrame);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => framer.accept(chunk));
    return framer;
  }

  /**
   * Sends a frame; frames of one turn of the loop go out together.
   * @param exchange - Number of the exchange.
   * @param body - Body of the frame.
   */
  send(exchange: bigint, body: PeerFrame['body']): void {
    const frame = create(PeerFrameSchema, {exchange, body});
    const bytes = toBinary(PeerFrameSchema, frame);
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
  }

  private accept(chunk: Buffer): void {
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
      if (!this.read(this.received.subarray(start, offset))) return;
    }
    this.received = this.received.subarray(offset);
  }

  private read(bytes: Buffer): boolean {
    try {
      // The decoder may keep views of its input, which a later chunk replaces.
      this.onFrame(fromBinary(PeerFrameSchema, bytes));
      return true;
    } catch (error) {
      this.socket.destroy(error instanceof Error ? error : undefined);
      return false;
    }
  }
}
