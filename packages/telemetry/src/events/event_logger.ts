/** Writes the catalogue's events as JSON lines. */
import type {CallId, DaemonId, ProgramId} from '@marigoldpost/common';
import {type DestinationStream, type Logger, pino} from 'pino';
import {
  eventCatalogue,
  type EventFields,
  type EventLevel,
  type EventName,
} from './event_catalogue.js';

/** Options of a logger. */
export interface EventLoggerOptions {
  /** Events below this level are left out. */
  readonly level: EventLevel;
  /** Where the lines go; standard output by default. */
  readonly destination?: DestinationStream;
  /** Daemon named in each line. */
  readonly daemon: DaemonId;
}

/** Identifiers that each line of one request carries. */
export interface EventContext {
  /** Names the HTTP request. */
  readonly requestId?: string;
  readonly callId?: CallId;
  readonly program?: ProgramId;
}

/** Logger of numbered events; it takes no free text, so no content gets in. */
export class EventLogger {
  private constructor(private readonly logger: Logger) {}

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

  /** Creates a logger that writes nothing. */
  static createSilent(): EventLogger {
    return new EventLogger(pino({level: 'silent'}));
  }

  /**
   * Gets a logger whose lines carry identifiers.
   * @param context - Identifiers of a request.
   */
  withContext(context: EventContext): EventLogger {
    return new EventLogger(this.logger.child({...context}));
  }

  /**
   * Logs an event.
   * @param name - Its name in the catalogue.
   * @param fields - Its fields.
   */
  log<Name extends EventName>(name: Name, fields: EventFields<Name>): void {
    const {number, level, message} = eventCatalogue[name];
    const line: object = {event: number, name, ...fields};
    this.logger[level](line, message);
  }
}
