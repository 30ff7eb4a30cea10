/** Kept connections to one target. */
import http from 'node:http';
import type {Socket} from 'node:net';

/** Idle connections kept; more would only wait for a burst. */
const maxIdleConnections = 32;
/** Closed this long before the target's own idle timeout. */
const idleMarginMs = 1500;
/** Longest idle time where the target names none. */
const defaultIdleMs = 4000;
const millisecondsPerSecond = 1000;

/** Agent that never reuses a connection on which unexpected bytes arrived. */
export class TargetAgent extends http.Agent {
  private readonly idleTimers = new Map<Socket, NodeJS.Timeout>();
  private isRetired = false;
  private readonly onUnexpectedData: (this: Socket) => void;

  private constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      noDelay: true,
    });
    this.onUnexpectedData = function () {
      this.destroy();
    };
  }

  /** Creates an agent without connections. */
  static create(): TargetAgent {
    return new TargetAgent();
  }

  /** Closes idle connections, and the others once their request has ended. */
  retire(): void {
    this.isRetired = true;
    this.closeIdle();
  }

  /** Closes idle connections, for example when one of them fell silent. */
  closeIdle(): void {
    for (const socket of this.idleTimers.keys()) socket.destroy();
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.isRetired || socket.readableLength > 0) return false;
    const idleMs = this.getIdleMs(socket);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, millisecondsPerSecond);
    socket.on('data', this.onUnexpectedData);
    const timer = setTimeout(() => {
      this.idleTimers.delete(socket);
      socket.destroy();
    }, idleMs);
    this.idleTimers.set(socket, timer);
    return true;
  }

  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    this.forget(socket);
    socket.removeListener('data', this.onUnexpectedData);
    super.reuseSocket(socket, request);
  }

  private forget(socket: Socket): void {
    clearTimeout(this.idleTimers.get(socket));
    this.idleTimers.delete(socket);
  }

  private getIdleMs(socket: Socket): number {
    const message = (socket as {_httpMessage?: {res?: http.IncomingMessage}})
      ._httpMessage;
    const hint = message?.res?.headers['keep-alive'];
    const [, seconds] =
      /(?:^|,)\s*timeout=(\d+)/.exec(String(hint ?? '')) ?? [];
    if (seconds === undefined) return defaultIdleMs;
    return Number(seconds) * millisecondsPerSecond - idleMarginMs;
  }
}
