/** Pools keep-alive connections to one target. */
import http from 'node:http';
import net, {type Socket} from 'node:net';
import {maxTimerDelayMs} from '@marigoldpost/common';

/** Limit of idle connections; more would be used only in a burst. */
const maxIdleConnections = 32;
/** An idle connection closes this long before the target would close it. */
const idleMarginMs = 1500;
/** Idle timeout if the target sends no `Keep-Alive` timeout. */
const defaultIdleMs = 4000;
const millisecondsPerSecond = 1000;

/** Opens a connection to a target; the socket may still be connecting. */
export type TargetConnector = (options: net.NetConnectOpts) => Socket;

/** HTTP agent that closes idle connections on which unexpected bytes arrive. */
export class TargetAgent extends http.Agent {
  private readonly idleTimers = new Map<Socket, NodeJS.Timeout>();
  private isRetired = false;
  private readonly onUnexpectedData: (this: Socket) => void;
  private readonly onIdleClose: (this: Socket) => void;

  private constructor(private readonly connector: TargetConnector) {
    super({
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      noDelay: true,
    });
    this.onUnexpectedData = function () {
      this.destroy();
    };
    const clearIdleTimer = this.clearIdleTimer.bind(this);
    this.onIdleClose = function () {
      clearIdleTimer(this);
    };
  }

  /**
   * Creates an agent without connections.
   * @param connector - Opens connections; plain TCP by default.
   */
  static create(connector: TargetConnector = net.connect): TargetAgent {
    return new TargetAgent(connector);
  }

  /** Closes idle connections now, and busy ones after their request ends. */
  retire(): void {
    this.isRetired = true;
    this.closeIdle();
  }

  /** Closes idle connections, for example after a request timed out on one. */
  closeIdle(): void {
    for (const socket of this.idleTimers.keys()) socket.destroy();
  }

  override createConnection(options: net.NetConnectOpts): Socket {
    return this.connector(options);
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.isRetired || socket.readableLength > 0) return false;
    const idleMs = this.getIdleMs(socket);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, millisecondsPerSecond);
    socket.on('data', this.onUnexpectedData);
    const timer = setTimeout(() => socket.destroy(), idleMs);
    this.idleTimers.set(socket, timer);
    socket.once('close', this.onIdleClose);
    return true;
  }

  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    this.clearIdleTimer(socket);
    socket.removeListener('data', this.onUnexpectedData);
    socket.removeListener('close', this.onIdleClose);
    super.reuseSocket(socket, request);
  }

  private clearIdleTimer(socket: Socket): void {
    clearTimeout(this.idleTimers.get(socket));
    this.idleTimers.delete(socket);
  }

  private getIdleMs(socket: Socket): number {
    const message = (socket as {_httpMessage?: {res?: http.IncomingMessage}})
      ._httpMessage;
    const keepAliveHeader = message?.res?.headers['keep-alive'];
    const [, seconds] =
      /(?:^|,)\s*timeout=(\d+)/.exec(String(keepAliveHeader ?? '')) ?? [];
    if (seconds === undefined) return defaultIdleMs;
    const idleMs = Number(seconds) * millisecondsPerSecond - idleMarginMs;
    return Math.min(idleMs, maxTimerDelayMs);
  }
}
