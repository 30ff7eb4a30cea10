/** Schema of the operators' configuration. */
import {
  addressKey,
  booleanKey,
  choiceKey,
  decimalKey,
  hashListKey,
  integerKey,
  type KeyTable,
  modelListKey,
  nameKey,
  nameListKey,
  shareListKey,
  textKey,
  toOptionalKey,
} from '../schema/key_definition.js';

const dayMs = 86_400_000;
const maxRate = 10_000_000;

const limitKeys = {
  max_in_flight: toOptionalKey(
    integerKey({
      description: 'Most requests in flight over all daemons',
      unit: 'requests',
      min: 1,
      max: 1_000_000,
    }),
  ),
  requests_per_second: toOptionalKey(
    decimalKey({
      description: 'Most requests a second over all daemons',
      unit: 'requests/s',
      min: 0.001,
      max: maxRate,
    }),
  ),
  tokens_per_second: toOptionalKey(
    decimalKey({
      description: 'Most generated tokens a second over all daemons',
      unit: 'tokens/s',
      min: 0.001,
      max: maxRate,
    }),
  ),
};

const serviceKeys = {
  kind: choiceKey(['engine', 'plain'], {
    description: 'Whether the targets are model engines or a plain service',
  }),
  discover_prefix: toOptionalKey(
    textKey({
      description: 'VMs whose names start with this prefix are targets',
    }),
  ),
  depends_on: toOptionalKey(
    nameListKey({description: 'Services that this service depends on'}),
  ),
  ...limitKeys,
  limit_shares: toOptionalKey(
    shareListKey({
      description:
        'Share of the limit for each data centre; equal shares by default',
    }),
  ),
  timeout_ms: integerKey({
    description: 'Timeout of one request',
    unit: 'ms',
    defaultText: '120000',
    min: 10,
    max: dayMs,
  }),
  checks_fencing: booleanKey({
    description:
      'Whether targets reject orders with an outdated fencing number',
    defaultText: 'no',
  }),
};

/** Key definitions of each section of the operators' configuration. */
export const operatorsSchema = {
  fleet: {
    partitions_per_data_centre: integerKey({
      description: 'Partitions of each data centre; must not change later',
      defaultText: '16',
      min: 1,
      max: 4096,
    }),
    lease_ms: integerKey({
      description: "Length of a daemon's lease; at least 3 heartbeats",
      unit: 'ms',
      defaultText: '3000',
      min: 300,
      max: 60_000,
    }),
    heartbeat_ms: integerKey({
      description: 'Interval of heartbeats to each peer',
      unit: 'ms',
      defaultText: '500',
      min: 50,
      max: 10_000,
    }),
    max_uncommitted_bytes: integerKey({
      description: 'Most bytes of uncommitted turns on each daemon',
      unit: 'bytes',
      defaultText: '33554432',
      min: 65_536,
      max: 1_073_741_824,
    }),
    cache_weight: decimalKey({
      description: 'Weighting between latency (0) and wasted cache (1)',
      defaultText: '0.5',
      min: 0,
      max: 1,
    }),
    quarantine_after_deaths: integerKey({
      description: 'Target crashes after which a request is quarantined',
      unit: 'deaths',
      defaultText: '2',
      min: 1,
      max: 10,
    }),
  },
  data_centre: {
    region: nameKey({description: 'Region of the data centre'}),
    is_down: booleanKey({
      description: 'Whether other data centres may take over its programs',
      defaultText: 'no',
    }),
  },
  engine_service: {
    ...serviceKeys,
    models: modelListKey({description: 'Models that its engines serve'}),
    keeps_abandoned_streams: booleanKey({
      description: 'Whether a stream is kept after its caller disconnects',
      defaultText: 'yes',
    }),
  },
  plain_service: {
    ...serviceKeys,
    is_idempotent: booleanKey({
      description:
        'Whether requests are idempotent, so that they may run twice',
      defaultText: 'no',
    }),
    deduplicates_by_key: booleanKey({
      description: 'Whether the service itself deduplicates by Idempotency-Key',
      defaultText: 'no',
    }),
  },
  target: {
    service: nameKey({description: 'Service that the target belongs to'}),
    data_centre: nameKey({description: 'Data centre of the target'}),
    address: addressKey({description: 'Address of the target'}),
  },
  team: {
    approved: booleanKey({
      description: 'Whether the team may send work',
      defaultText: 'no',
    }),
    key_hashes: toOptionalKey(
      hashListKey({description: "Hashes of the team's keys"}),
    ),
    services: nameListKey({description: 'Services that the team may use'}),
    includes_dependencies: booleanKey({
      description: 'Whether the approval includes the dependencies of services',
      defaultText: 'no',
    }),
    call_class: choiceKey(['immediate', 'normal', 'batch'], {
      description: "Priority class of the team's calls in the queue",
      defaultText: 'normal',
    }),
    ...limitKeys,
    budget_tokens: integerKey({
      description: 'Most tokens of one program',
      unit: 'tokens',
      defaultText: '1000000',
      min: 1,
      max: 1_000_000_000,
    }),
    budget_calls: integerKey({
      description: 'Most calls of one program',
      unit: 'calls',
      defaultText: '500',
      min: 1,
      max: 1_000_000,
    }),
    budget_wall_ms: integerKey({
      description: "Longest time from a program's first call",
      unit: 'ms',
      defaultText: '3600000',
      min: 1000,
      max: 30 * dayMs,
    }),
  },
  operator: {
    key_hashes: hashListKey({description: "Hashes of the operator's keys"}),
  },
} as const satisfies Record<string, KeyTable>;

/** Kinds of sections in the configuration; all but `fleet` have a name. */
export const operatorsSectionKinds = [
  'fleet',
  'data_centre',
  'service',
  'target',
  'team',
  'operator',
] as const;
