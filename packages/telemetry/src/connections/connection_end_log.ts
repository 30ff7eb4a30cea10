/** Tells operators of connections that a port has refused or ended. */
import type {ConnectionEnd} from '@marigoldpost/common';
import type {EventLogger} from '../events/event_logger.js';
import type {Metrics} from '../metrics/metrics.js';

/** Interval at which a port logs what it has ended, in milliseconds. */
export const connectionEndLogIntervalMs = 5000;

/** Port and destinations of a log. */
export interface ConnectionEndLogOptions {
  /** Name of the port in the log and the metrics. */
  readonly port: string;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}

/** What a port has open. */
export interface OpenConnections {
  readonly connectionCount: number;
  /** Number of requests that have been read and not answered. */
  readonly pendingCount: number;
}

/** Counts ended connections by reason, and logs the counts together. */
export class ConnectionEndLog {
  /** Connections that were ended since the last line of the log. */
  private readonly counts = new Map<ConnectionEnd, number>();

  private constructor(private readonly options: ConnectionEndLogOptions) {}

  /**
   * Creates a log without counts.
   * @param options - Port and destinations.
   */
  static create(options: ConnectionEndLogOptions): ConnectionEndLog {
    return new ConnectionEndLog(options);
  }

  /**
   * Counts a connection that was refused or ended.
   * @param reason - Why it was.
   */
  record(reason: ConnectionEnd): void {
    this.counts.set(reason, this.getCount(reason) + 1);
    const {port, metrics} = this.options;
    metrics.addToCounter('connections_ended_total', {port, reason});
  }

  /**
   * Logs the counts since the last line, if any.
   * @param open - What the port has open now.
   */
  flush({connectionCount, pendingCount}: OpenConnections): void {
    if (this.counts.size === 0) return;
    const {port, logger} = this.options;
    logger.log('connections_ended', {
      port,
      open: connectionCount,
      pendingRequests: pendingCount,
      full: this.getCount('full'),
      replaced: this.getCount('replaced'),
      pipelined: this.getCount('pipelined'),
      stalled: this.getCount('stalled'),
      buffered: this.getCount('buffered'),
      costly: this.getCount('costly'),
    });
    this.counts.clear();
  }

  private getCount(reason: ConnectionEnd): number {
    return this.counts.get(reason) ?? 0;
  }
}
