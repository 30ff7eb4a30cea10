/** Log events about the clients of a site: keys, quotas and connections. */
import {
  defineEvent as define,
  type EventDefinition,
} from './event_definition.js';

/** Events 2120 to 2139 by name. */
export const clientEvents = {
  key_refused: define(2120, 'info', 'A call had no key in force', {
    route: 'string',
    hasKey: 'boolean',
    configVersion: 'number',
  }),
  quota_refused: define(2121, 'info', 'A quota did not allow a call', {
    tenant: 'string',
    result: 'string',
    ratePerS: 'number',
    burst: 'number',
    holder: 'string?',
    counted: 'number',
    countAgeMs: 'number',
    retryAfterMs: 'number?',
    configVersion: 'number',
  }),
  quota_holder_reachability: define(
    2122,
    'info',
    'An entry VM that counts quotas is reachable, or no longer',
    {peer: 'string', isReachable: 'boolean', reason: 'string'},
  ),
  connections_ended: define(
    2130,
    'warn',
    'Connections were refused or ended to save resources',
    {
      port: 'string',
      open: 'number',
      pendingRequests: 'number',
      full: 'number',
      replaced: 'number',
      pipelined: 'number',
      stalled: 'number',
      buffered: 'number',
      costly: 'number',
    },
  ),
} as const satisfies Record<string, EventDefinition>;
