/**
 * Every event that the project logs. A number, once given, keeps its meaning;
 * a removed event's number is not given again. `docs/EVENTS.md` lists them.
 */

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Type of one field; a question mark makes the field optional. */
export type FieldType =
  'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'boolean?';

/** One event of the catalogue. */
export interface EventDefinition {
  readonly number: number;
  readonly level: EventLevel;
  /** What happened, as the line's message. */
  readonly message: string;
  readonly fields: Readonly<Record<string, FieldType>>;
}

/** The events by name. */
export const eventCatalogue = {
  // 1000: the daemon's life.
  daemon_started: define(1001, 'info', 'The daemon serves', {
    callerAddress: 'string',
    peerAddress: 'string',
  }),
  daemon_draining: define(1002, 'info', 'The daemon takes no new calls', {
    inFlight: 'number',
  }),
  daemon_stopped: define(1003, 'info', 'The daemon has stopped', {
    drainMs: 'number',
    cutOff: 'number',
  }),
  background_failed: define(1004, 'error', 'A background task failed', {
    task: 'string',
    kind: 'string',
    message: 'string',
  }),

  // 2000: callers.
  call_accepted: define(2001, 'debug', 'A call was accepted', {
    team: 'string',
    service: 'string',
    isReplay: 'boolean',
  }),
  call_finished: define(2002, 'info', 'A call is complete', {
    team: 'string',
    service: 'string',
    durationMs: 'number',
    isDurable: 'boolean',
    completionTokens: 'number?',
  }),
  call_refused: define(2003, 'info', 'A request was refused', {
    team: 'string?',
    kind: 'string',
    outcome: 'string',
    status: 'number',
  }),
  call_failed: define(2004, 'warn', 'A call failed after it was accepted', {
    team: 'string',
    service: 'string',
    kind: 'string',
    outcome: 'string',
  }),
  caller_gone: define(2005, 'debug', 'The caller went away', {
    team: 'string',
    service: 'string',
  }),
  tls_reloaded: define(2006, 'info', 'TLS files were read again', {}),
  tls_reload_failed: define(2007, 'error', 'TLS files could not be read', {
    message: 'string',
  }),

  // 3000: partitions, journal and programs.
  partition_taken: define(3001, 'info', 'A partition is held here', {
    partition: 'string',
    epoch: 'number',
    programs: 'number',
  }),
  partition_released: define(3002, 'info', 'A partition was handed over', {
    partition: 'string',
    epoch: 'number',
  }),
  partition_lost: define(3003, 'warn', 'A partition is no longer held here', {
    partition: 'string',
    epoch: 'number',
    reason: 'string',
  }),
  program_ended: define(3007, 'debug', 'A program ended', {
    reason: 'string',
    usedTokens: 'number',
    usedCalls: 'number',
  }),

  // 4000: peers.
  member_changed: define(4001, 'info', 'A daemon changed its state', {
    member: 'string',
    from: 'string',
    to: 'string',
  }),

  // 5000: targets.
  target_changed: define(5001, 'info', 'A target changed its state', {
    target: 'string',
    from: 'string',
    to: 'string',
  }),
  target_died: define(5002, 'warn', 'A target died with requests running', {
    target: 'string',
    requests: 'number',
  }),
  request_quarantined: define(5003, 'warn', 'A request was quarantined', {
    fingerprint: 'string',
    deaths: 'number',
  }),
  quarantine_lifted: define(5004, 'info', 'A quarantine was lifted', {
    fingerprint: 'string',
  }),

  // 6000: configuration and operators.
  config_in_force: define(6001, 'info', "The operators' text is in force", {
    version: 'number',
    hash: 'string',
    source: 'string',
  }),
  config_rejected: define(6002, 'error', "The operators' text is not valid", {
    kind: 'string',
  }),
  config_accepted: define(6003, 'info', 'An operator changed the text', {
    version: 'number',
    operator: 'string',
  }),
  operator_refused: define(6004, 'warn', 'An operator request was refused', {
    kind: 'string',
    path: 'string',
  }),

  // 7000: the platform.
  platform_lost: define(7001, 'warn', 'The platform does not answer', {
    kind: 'string',
  }),
  platform_back: define(7002, 'info', 'The platform answers again', {
    outageMs: 'number',
  }),
} as const satisfies Record<string, EventDefinition>;

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue;

interface FieldValues {
  string: string;
  number: number;
  boolean: boolean;
}

type ValueOf<Type extends FieldType> = Type extends `${infer Base}?`
  ? Base extends keyof FieldValues
    ? FieldValues[Base]
    : never
  : Type extends keyof FieldValues
    ? FieldValues[Type]
    : never;

type OptionalKeys<Fields> = {
  [Key in keyof Fields]: Fields[Key] extends `${string}?` ? Key : never;
}[keyof Fields];

type FieldsOf<Fields extends Record<string, FieldType>> = {
  readonly [Key in Exclude<keyof Fields, OptionalKeys<Fields>>]: ValueOf<
    Fields[Key]
  >;
} & {
  readonly [Key in OptionalKeys<Fields>]?: ValueOf<Fields[Key]>;
};

/** The fields that an event is logged with. */
export type EventFields<Name extends EventName> = FieldsOf<
  (typeof eventCatalogue)[Name]['fields']
>;

function define<const Fields extends Record<string, FieldType>>(
  number: number,
  level: EventLevel,
  message: string,
  fields: Fields,
) {
  return {number, level, message, fields};
}
