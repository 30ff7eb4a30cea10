/** Logs and counts the connections of clients that are refused or ended. */
import type {
  ConnectionEnd,
  ConnectionObserver,
  ConnectionReport,
} from '@marigoldpost/common';
import type {Metrics} from '../metrics/metrics.js';
import type {EventLogger} from './event_logger.js';

/** Name of a port, and where the ends of its connections are told. */
export interface ConnectionLogOptions {
  /** Name of the port in the log and the metrics. */
  readonly port: string;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}

/** Tells operators of the connections of one port. */
export class ConnectionLog implements ConnectionObserver {
  private constructor(private readonly options: ConnectionLogOptions) {}

  /**
   * Creates a log.
   * @param options - Name of the port, and where to log.
   */
  static create(options: ConnectionLogOptions): ConnectionLog {
    return new ConnectionLog(options);
  }

  onEnded(reason: ConnectionEnd): void {
    const {port, metrics} = this.options;
    metrics.addToCounter('connections_ended_total', {port, reason});
  }

  onReport({open, pendingRequests, ended}: ConnectionReport): void {
    const get = (reason: ConnectionEnd) => ended.get(reason) ?? 0;
    this.options.logger.log('connections_ended', {
      port: this.options.port,
      open,
      pendingRequests,
      full: get('full'),
      replaced: get('replaced'),
      pipelined: get('pipelined'),
      stalled: get('stalled'),
      costly: get('costly'),
    });
  }
}
