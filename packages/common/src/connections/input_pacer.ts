/**
 * Bounds the processor time that the input of clients takes in one iteration of the
 * event loop, whatever they send.
 *
 * Load pattern: input that costs much more time than its bytes, such as chunks of
 * one byte or many small requests at once. The HTTP parser handles all that one
 * read gets (64 KiB), so that a few hundred connections take the processor for
 * seconds.
 */
import type http from 'node:http';
import type {Socket} from 'node:net';

/** Bytes that the HTTP parser gets at a time. */
const sliceBytes = 2048;
/** Time from which a slice is costly. */
const costlySliceMs = 0.2;
/**
 * Costly slices from which the rest of a read is handled later; the head of a
 * request makes one.
 */
const maxCostlySlices = 2;
/** Time in one iteration of the event loop from which clients wait for the next. */
const maxIterationMs = 2;
/**
 * Connections whose input is handled later, with up to 64 KiB each, from which one
 * that has cost much is ended for another.
 */
const maxDeferred = 64;
/** Time that the input of a connection may cost even then. */
const maxDeferredMs = 5;

/** Passes what has been read to the HTTP parser. */
type Parse = (bytes: Buffer) => void;

/** Connection whose input is paced. */
interface PacedInput {
  readonly parse: Parse;
  /** What has been read and not been parsed. */
  rest: Buffer | undefined;
  /** Time since a read that was handled at once. */
  costMs: number;
}

/** Passes the input of connections to the HTTP parser in small parts. */
export class InputPacer {
  /** In the order in which they had their last turn. */
  private readonly inputs = new Map<Socket, PacedInput>();
  /** Connections whose input waits for its turn. */
  private readonly deferred = new Set<Socket>();
  /** Connections that the pacer has paused. */
  private readonly paused = new Set<Socket>();
  private iterationMs = 0;
  private isScheduled = false;
  private isPaused = false;

  private constructor(private readonly onOverload: (socket: Socket) => void) {}

  /**
   * Starts to pace the connections of a server.
   * @param server - Server that has not accepted connections yet.
   * @param onOverload - Ends a connection whose input there is no time for.
   */
  static attach(
    server: http.Server,
    onOverload: (socket: Socket) => void,
  ): void {
    const pacer = new InputPacer(onOverload);
    // The server's own listener has attached the parser before.
    server.on('connection', (socket: Socket) => pacer.add(socket));
    server.on('secureConnection', (socket: Socket) => pacer.add(socket));
  }

  private add(socket: Socket): void {
    if (socket.destroyed) return;
    const [listener] = socket.listeners('data');
    if (listener === undefined) return;
    const parse = listener as Parse;
    const input: PacedInput = {parse, rest: undefined, costMs: 0};
    socket.removeListener('data', parse);
    socket.on('data', (bytes: Buffer) => this.handle(socket, input, bytes));
    // Node.js pauses a connection itself, for example while responses wait.
    socket.on('resume', () => this.defer(socket, input));
    socket.once('close', () => {
      this.inputs.delete(socket);
      this.deferred.delete(socket);
      this.paused.delete(socket);
    });
    this.inputs.set(socket, input);
    if (this.isPaused) this.pauseInput(socket);
  }

  private handle(socket: Socket, input: PacedInput, bytes: Buffer): void {
    if (input.rest !== undefined) {
      // Node.js has resumed the connection since its body was read.
      input.rest = Buffer.concat([input.rest, bytes]);
      this.pauseInput(socket);
      return;
    }
    if (!this.isScheduled) this.iterationMs = 0;
    this.inputs.delete(socket);
    this.inputs.set(socket, input);
    input.rest = this.parse(socket, input, bytes);
    if (input.rest === undefined) input.costMs = 0;
    else this.defer(socket, input);
    if (this.deferred.size > 0 && this.iterationMs > maxIterationMs) {
      this.pauseAll();
    }
  }

  /** Gets what is left once parts were costly, or the connection is paused. */
  private parse(
    socket: Socket,
    input: PacedInput,
    bytes: Buffer,
  ): Buffer | undefined {
    // A short read can't cost much, and most are.
    if (bytes.byteLength <= sliceBytes && this.deferred.size === 0) {
      input.parse(bytes);
      return undefined;
    }
    let costlySlices = 0;
    for (let start = 0; start < bytes.byteLength; start += sliceBytes) {
      const end = start + sliceBytes;
      const startMs = performance.now();
      input.parse(bytes.subarray(start, end));
      const tookMs = performance.now() - startMs;
      this.iterationMs += tookMs;
      input.costMs += tookMs;
      if (socket.destroyed || end >= bytes.byteLength) return undefined;
      if (tookMs >= costlySliceMs) costlySlices += 1;
      if (costlySlices >= maxCostlySlices || socket.isPaused()) {
        return bytes.subarray(end);
      }
    }
    return undefined;
  }

  /** Has the rest of a read handled later, once nothing else pauses it. */
  private defer(socket: Socket, input: PacedInput): void {
    if (input.rest === undefined || socket.isPaused()) return;
    this.pauseInput(socket);
    this.deferred.add(socket);
    this.schedule();
    if (this.deferred.size > maxDeferred) this.endCostliest();
  }

  private endCostliest(): void {
    let costliest: Socket | undefined;
    let mostMs = maxDeferredMs;
    for (const socket of this.deferred) {
      const costMs = this.inputs.get(socket)?.costMs ?? 0;
      if (costMs <= mostMs) continue;
      costliest = socket;
      mostMs = costMs;
    }
    if (costliest === undefined) return;
    this.deferred.delete(costliest);
    this.inputs.delete(costliest);
    this.onOverload(costliest);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.iterationMs = 0;
      this.resumeAll();
      this.handleDeferred();
    });
  }

  /** Pauses a connection unless something else has. */
  private pauseInput(socket: Socket): void {
    if (socket.isPaused()) return;
    socket.pause();
    this.paused.add(socket);
  }

  /** Resumes a connection that the pacer has paused. */
  private resumeInput(socket: Socket): void {
    if (this.paused.delete(socket)) socket.resume();
  }

  /** Leaves what other connections have sent to the next iteration. */
  private pauseAll(): void {
    if (this.isPaused) return;
    this.isPaused = true;
    for (const socket of this.inputs.keys()) this.pauseInput(socket);
    this.schedule();
  }

  private resumeAll(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    for (const socket of this.inputs.keys()) {
      if (!this.deferred.has(socket)) this.resumeInput(socket);
    }
  }

  /** Handles a part of the input of each connection that waits, in turn. */
  private handleDeferred(): void {
    for (const socket of [...this.deferred]) {
      if (this.iterationMs > maxIterationMs) break;
      this.deferred.delete(socket);
      const input = this.inputs.get(socket);
      if (input?.rest === undefined) continue;
      this.resumeInput(socket);
      input.rest = this.parse(socket, input, input.rest);
      if (input.rest === undefined) input.costMs = 0;
      else this.defer(socket, input);
    }
    if (this.deferred.size > 0) this.schedule();
  }
}
