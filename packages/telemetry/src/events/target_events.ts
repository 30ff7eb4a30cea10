/** Log events about the targets of a site and the links to them. */
import {
  defineEvent as define,
  type EventDefinition,
} from './event_definition.js';

/** Events 5100 to 5199 by name. */
export const targetEvents = {
  target_listed: define(5101, 'info', 'A target was listed or changed', {
    target: 'string',
    service: 'string',
    address: 'string',
    isDraining: 'boolean',
    version: 'number',
  }),
  target_unlisted: define(5102, 'info', 'A target was removed from the list', {
    target: 'string',
    isHeld: 'boolean',
    version: 'number',
  }),
  target_ejected: define(5103, 'warn', 'A target was ejected', {
    target: 'string',
    service: 'string',
    result: 'string',
  }),
  target_limit_changed: define(
    5104,
    'info',
    'The rate limit of a target changed',
    {
      target: 'string',
      startedAtMs: 'number',
      limitPerS: 'number?',
      previousPerS: 'number?',
      source: 'string',
      ageMs: 'number',
    },
  ),
  permit_holder_reachability: define(
    5105,
    'info',
    'Reachability of an entry VM that hands out permits changed',
    {
      peer: 'string',
      isReachable: 'boolean',
      reason: 'string',
    },
  ),
  target_link_changed: define(
    5106,
    'info',
    'The link to a target changed its state',
    {
      target: 'string',
      state: 'string',
      previous: 'string',
      previousMs: 'number',
      reason: 'string',
    },
  ),
  isolation_changed: define(
    5107,
    'warn',
    'The belief in being cut off from the targets changed',
    {
      isIsolated: 'boolean',
      cutLinks: 'number',
      durationMs: 'number',
      reason: 'string',
    },
  ),
  request_relayed: define(
    5108,
    'info',
    'A request of another entry VM was relayed to a target',
    {
      sender: 'string',
      target: 'string',
      outcome: 'string',
    },
  ),
  target_leaving: define(
    5109,
    'info',
    'A target has stated that it is leaving',
    {
      target: 'string',
      startedAtMs: 'number',
      source: 'string',
      ageMs: 'number',
    },
  ),
} as const satisfies Record<string, EventDefinition>;
