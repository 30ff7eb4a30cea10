/** Tells whether the connections of an HTTP channel end normally. */
import type {Socket} from 'node:net';
import {isConnectionReset} from '@marigoldpost/common';
import {buildConnector} from 'undici';

/**
 * Observes connections. undici reports a response that only the end of its
 * connection delimits as complete even if the connection is reset.
 */
export class ConnectionEnds {
  private isReset = false;
  /** Opens the connections of a dispatcher. */
  readonly connect: buildConnector.connector;

  private constructor(timeoutMs: number) {
    const connect = buildConnector({timeout: timeoutMs});
    this.connect = (options, callback) => {
      connect(options, (...result) => {
        if (result[0] === null) this.observe(result[1]);
        callback(...result);
      });
    };
  }

  /**
   * Creates an instance without connections.
   * @param timeoutMs - Connect timeout.
   */
  static create(timeoutMs: number): ConnectionEnds {
    return new ConnectionEnds(timeoutMs);
  }

  /**
   * Whether the connection whose end is being handled was reset. Defined while
   * undici handles the end, which it does synchronously.
   */
  get wasReset(): boolean {
    return this.isReset;
  }

  private observe(socket: Socket): void {
    socket.on('end', () => {
      this.isReset = isConnectionReset(socket);
    });
    socket.on('error', () => {
      this.isReset = true;
    });
  }
}
