/** Log events about requests that crash targets. */
import {
  defineEvent as define,
  type EventDefinition,
} from './event_definition.js';

/** Events 5003 to 5099 by name. */
export const crashEvents = {
  request_quarantined: define(5003, 'warn', 'A request was quarantined', {
    fingerprint: 'string',
    deaths: 'number',
  }),
  quarantine_lifted: define(5004, 'info', 'A quarantine was lifted', {
    fingerprint: 'string',
  }),
  crash_recorded: define(5005, 'warn', 'A target crashed on a request', {
    fingerprint: 'string',
    target: 'string',
    deaths: 'number',
    ranMs: 'number',
  }),
  crash_not_counted: define(5006, 'info', 'A crash was not counted', {
    target: 'string',
    reason: 'string',
    ranMs: 'number',
  }),
  crash_records_merged: define(5007, 'info', 'Crash records were merged', {
    source: 'string',
    fingerprint: 'string',
    deaths: 'number',
    ageMs: 'number',
    isQuarantined: 'boolean',
    omitted: 'number',
  }),
  crash_records_sent: define(5008, 'info', 'Crash records were sent', {
    destination: 'string',
    requests: 'number',
    delayMs: 'number',
  }),
  suspect_sent: define(5009, 'info', 'A suspect request was sent', {
    fingerprint: 'string',
    target: 'string',
    deaths: 'number',
  }),
  suspicion_cleared: define(5010, 'info', 'A suspect request completed', {
    fingerprint: 'string',
    target: 'string',
    status: 'number',
  }),
  trial_refused: define(5011, 'info', 'A trial was not granted', {
    fingerprint: 'string',
    reason: 'string',
  }),
  trial_ended: define(5012, 'info', 'A trial of a quarantined request ended', {
    fingerprint: 'string',
    result: 'string',
  }),
} as const satisfies Record<string, EventDefinition>;
