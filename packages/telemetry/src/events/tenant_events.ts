/** Log events about the keys and quotas of tenants. */
import {
  defineEvent as define,
  type EventDefinition,
} from './event_definition.js';

/** Events 2120 to 2129 by name. */
export const tenantEvents = {
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
} as const satisfies Record<string, EventDefinition>;
