/** Writes events of the catalogue as JSON lines. */
import type {CallId, DaemonId, ProgramId} from '@marigoldpost/common';
import {type DestinationStream, type Logger, pino} from 'pino';
import {
  eventCatalogue,
  type EventFields,
  type EventName,
} from './event_catalogue.js';
import type {EventLevel} from './event_definition.js';

/** Level, destination and origin of the log lines. */
export interface EventLoggerOptions {
  /** Events below this level are not logged. */
  readonly level: EventLevel;
  /** Stream that receives the lines; standard output by default. */
  readonly destination?: DestinationStream;
  /** Daemon that each line names. */
  readonly daemon: DaemonId;
}

/** Identifiers that are added to each line of one request. */
export interface EventContext {
  /** Identifier of the HTTP request. */
  readonly requestId?: string;
  readonly callId?: CallId;
  readonly program?: ProgramId;
}

/**
 * Logger of numbered events. It takes no free text, so that no content of
 * requests is logged.
 */
export class EventLogger {
  private constructor(
    private readonly logger: Logger,
    private readonly context: EventContext = {},
  ) {}

  /**
   * Creates a logger.
   * @param options - Level, destination and daemon.
   */
  static create(options: EventLoggerOptions): EventLogger {
    const {level, destination, daemon} = options;
    const settings = {level, base: {daemon}};
    return new EventLogger(
      destination === undefined ? pino(settings) : pino(settings, destination),
    );
  }

  /** Creates a logger that discards every event. */
  static createSilent(): EventLogger {
    return new EventLogger(pino({level: 'silent'}));
  }

  /**
   * Creates a logger that adds identifiers to its lines. It shares the writer of
   * this one, since each request needs one.
   * @param context - Identifiers of a request.
   */
  withContext(context: EventContext): EventLogger {
    return new EventLogger(this.logger, {...this.context, ...context});
  }

  /**
   * Logs an event at the level that the catalogue gives it.
   * @param name - Key of the event in the catalogue.
   * @param fields - Values of the fields that the catalogue lists.
   */
  log<Name extends EventName>(name: Name, fields: EventFields<Name>): void {
    const {number, level, message} = eventCatalogue[name];
    const line: object = {...this.context, event: number, name, ...fields};
    this.logger[level](line, message);
  }
}
