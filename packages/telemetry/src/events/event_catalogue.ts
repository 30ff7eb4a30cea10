/**
 * Catalogue of all log events. A number never changes its meaning; the number
 * of a removed event is not reused. `docs/EVENTS.md` lists the events.
 */

import {
  defineEvent as define,
  type EventDefinition,
  type FieldType,
} from './event_definition.js';
import {crashEvents} from './crash_events.js';
import {targetEvents} from './target_events.js';
import {clientEvents} from './client_events.js';

/** All events by name. */
export const eventCatalogue = {
  // 1000: life cycle of daemons and processes.
  daemon_started: define(1001, 'info', 'The daemon is ready to serve', {
    callerAddress: 'string',
    peerAddress: 'string',
  }),
  daemon_draining: define(
    1002,
    'info',
    'The daemon is draining and accepts no new calls',
    {
      inFlight: 'number',
    },
  ),
  daemon_stopped: define(1003, 'info', 'The daemon has stopped', {
    drainMs: 'number',
    cutOff: 'number',
  }),
  background_failed: define(1004, 'error', 'A background task failed', {
    task: 'string',
    kind: 'string',
    message: 'string',
  }),
  node_started: define(1010, 'info', 'A process of a site is ready to serve', {
    role: 'string',
    startMs: 'number',
    detail: 'string',
  }),
  node_stopping: define(1011, 'info', 'A process received a stop signal', {
    signal: 'string',
    inFlight: 'number',
  }),
  node_stopped: define(1012, 'info', 'A process of a site has stopped', {
    drainMs: 'number',
    cutOff: 'number',
  }),
  settings_reloaded: define(1013, 'info', 'The settings were reloaded', {
    changed: 'string',
  }),
  log_lines_dropped: define(1014, 'warn', 'Log lines were dropped', {
    lines: 'number',
  }),
  readiness_changed: define(1015, 'info', 'Readiness changed', {
    isReady: 'boolean',
    reason: 'string',
  }),

  // 2000: callers and calls.
  call_accepted: define(2001, 'debug', 'A call was accepted', {
    team: 'string',
    service: 'string',
    isReplay: 'boolean',
  }),
  call_finished: define(2002, 'info', 'A call has completed', {
    team: 'string',
    service: 'string',
    durationMs: 'number',
    isDurable: 'boolean',
    completionTokens: 'number?',
  }),
  call_refused: define(2003, 'info', 'A request was rejected', {
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
  caller_gone: define(2005, 'debug', 'The caller disconnected', {
    team: 'string',
    service: 'string',
  }),
  tls_reloaded: define(2006, 'info', 'TLS files were reloaded', {}),
  tls_reload_failed: define(2007, 'error', 'TLS files could not be reloaded', {
    message: 'string',
  }),
  call_placed: define(2101, 'info', 'A call was sent to a target', {
    route: 'string',
    service: 'string',
    target: 'string',
    attempt: 'number',
    waitedMs: 'number',
    load: 'number',
    limitPerS: 'number?',
    leftMs: 'number',
    configVersion: 'number',
  }),
  attempt_failed: define(2102, 'warn', 'An attempt of a call failed', {
    target: 'string',
    via: 'string',
    result: 'string',
    isSent: 'boolean',
    reason: 'string',
    elapsedMs: 'number',
    framing: 'string?',
    end: 'string?',
    bytes: 'number?',
    events: 'number?',
    isInEvent: 'boolean?',
    silentMs: 'number?',
  }),
  call_ended: define(2103, 'info', 'A response to a call has ended', {
    route: 'string',
    status: 'number',
    durationMs: 'number',
    events: 'number?',
    target: 'string?',
    framing: 'string?',
    end: 'string?',
    bytes: 'number?',
    isInEvent: 'boolean?',
    via: 'string?',
    silentMs: 'number?',
    clientEnd: 'string?',
    endReason: 'string?',
  }),
  call_turned_away: define(2104, 'info', 'A call was rejected', {
    route: 'string',
    kind: 'string',
    status: 'number',
    message: 'string',
    elapsedMs: 'number',
    retryAfterMs: 'number?',
  }),
  answer_broken_off: define(2105, 'warn', 'A response was aborted', {
    route: 'string',
    reason: 'string',
    events: 'number',
    durationMs: 'number',
  }),
  client_gone: define(2106, 'info', 'A client disconnected early', {
    route: 'string',
    elapsedMs: 'number',
  }),
  call_relayed: define(2107, 'info', 'A call goes through another entry VM', {
    target: 'string',
    peer: 'string',
    linkState: 'string',
    isIsolated: 'boolean',
    elapsedMs: 'number',
  }),
  ...clientEvents,

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
  turn_read: define(3101, 'info', 'The earlier turns were read', {
    previous: 'string',
    turns: 'number',
    promptBytes: 'number',
    elapsedMs: 'number',
  }),
  turn_stored: define(3102, 'info', 'A finished turn is durable', {
    program: 'string',
    tokens: 'number',
    disks: 'number',
    isInObject: 'boolean',
    elapsedMs: 'number',
  }),
  budget_refused: define(3103, 'info', 'A turn exceeds its budget', {
    program: 'string',
    budgetTokens: 'number',
    wantedTokens: 'number',
    settledTokens: 'number?',
    heldTokens: 'number?',
    openAttempts: 'number?',
  }),
  archive_opened: define(3104, 'info', 'The archive was read from its disk', {
    disk: 'string',
    turns: 'number',
    programs: 'number',
    crashRecords: 'number',
    elapsedMs: 'number',
  }),
  archive_reachability: define(
    3105,
    'warn',
    'An archive changed reachability',
    {
      archive: 'string',
      isReachable: 'boolean',
      reason: 'string',
    },
  ),
  archive_retired: define(3106, 'info', 'An archive was emptied', {
    turns: 'number',
  }),
  archive_replicas_counted: define(
    3107,
    'warn',
    'Replicas of another archive stopped to count, or count again',
    {
      archive: 'string',
      disk: 'string',
      areCounted: 'boolean',
    },
  ),
  turns_damaged: define(
    3108,
    'warn',
    'Entries of the turn log could not be read, or have been restored',
    {
      found: 'number',
      restored: 'number',
      turn: 'string',
    },
  ),
  turn_objects_written: define(3109, 'info', 'Turns are in the object API', {
    batch: 'string',
    turns: 'number',
    objects: 'number',
    elapsedMs: 'number',
  }),
  reservations_written: define(3110, 'info', 'Reservations are in the store', {
    reservations: 'number',
    elapsedMs: 'number',
  }),
  turn_objects_imported: define(3111, 'info', 'Turns were imported', {
    batch: 'string',
    turns: 'number',
  }),
  turn_objects_removed: define(3112, 'info', 'Imported turns were removed', {
    batch: 'string',
    turns: 'number',
  }),
  archive_superseded: define(
    3113,
    'warn',
    'The votes of absent archives on token budgets no longer count',
    {
      disks: 'string',
    },
  ),

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
  ...crashEvents,
  ...targetEvents,

  // 6000: configuration and operators.
  config_in_force: define(6001, 'info', 'A configuration is active', {
    version: 'number',
    hash: 'string',
    source: 'string',
  }),
  config_rejected: define(6002, 'error', 'A configuration is not valid', {
    kind: 'string',
  }),
  config_accepted: define(
    6003,
    'info',
    'An operator changed the configuration',
    {
      version: 'number',
      operator: 'string',
    },
  ),
  operator_refused: define(6004, 'warn', 'An operator request was rejected', {
    kind: 'string',
    path: 'string',
  }),
  site_config_in_force: define(6101, 'info', 'A site configuration is active', {
    version: 'number',
    routes: 'number',
    revision: 'number',
  }),

  // 7000: the platform.
  platform_lost: define(7001, 'warn', 'The platform is unavailable', {
    kind: 'string',
  }),
  platform_back: define(7002, 'info', 'The platform is available again', {
    outageMs: 'number',
  }),
  watch_lost: define(7101, 'warn', 'A watch of the platform failed', {
    prefix: 'string',
    message: 'string',
  }),
  watch_back: define(7102, 'info', 'A watch of the platform works again', {
    prefix: 'string',
    outageMs: 'number',
  }),
  seed_failed: define(7103, 'warn', 'A seed did not return the site', {
    seed: 'string',
    message: 'string',
  }),
  site_read_from_seed: define(
    7104,
    'info',
    'Objects were read from a seed instead of the platform',
    {seed: 'string', prefix: 'string', objects: 'number'},
  ),
  change_source_changed: define(
    7106,
    'info',
    'Changes of objects are read from another place',
    {prefix: 'string', source: 'string', reason: 'string'},
  ),
  object_ignored: define(7105, 'warn', 'A malformed object was ignored', {
    key: 'string',
    version: 'number',
  }),
} as const satisfies Record<string, EventDefinition>;

/** Key of an event in the catalogue. */
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

/** Values of the fields that an event must be logged with. */
export type EventFields<Name extends EventName> = FieldsOf<
  (typeof eventCatalogue)[Name]['fields']
>;
