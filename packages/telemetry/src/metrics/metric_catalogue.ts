/** Catalogue of all metrics. */

/** Type, help text and labels of one metric. */
export interface MetricDefinition {
  readonly type: 'counter' | 'gauge' | 'histogram';
  readonly help: string;
  readonly labels: readonly string[];
}

/** All metrics by name; the exposition adds the prefix `marigoldpost_`. */
export const metricCatalogue = {
  calls_total: define('counter', 'Calls by result', ['service', 'result']),
  refusals_total: define('counter', 'Rejected requests', ['kind']),
  call_duration_ms: define('histogram', 'Duration of a call', ['service']),
  first_token_ms: define('histogram', 'Time to the first token', ['service']),
  token_gap_ms: define('histogram', 'Time between tokens', ['service']),
  queue_wait_ms: define('histogram', 'Wait for a target', ['service']),
  commit_wait_ms: define('histogram', 'Wait for the journal', []),
  calls_in_flight: define('gauge', 'Calls in flight', []),
  queue_length: define('gauge', 'Calls queued for a target', []),
  prompt_tokens_total: define('counter', 'Prompt tokens', ['service']),
  cached_tokens_total: define('counter', 'Cached prompt tokens', ['service']),
  completion_tokens_total: define('counter', 'Generated tokens', ['service']),
  programs_open: define('gauge', 'Open programs held here', []),
  partitions_held: define('gauge', 'Partitions held here', []),
  platform_calls_total: define('counter', 'Calls to the platform', [
    'operation',
    'result',
  ]),
  config_version: define('gauge', 'Version of the active configuration', []),
  requests_total: define('counter', 'Requests by route kind and status', [
    'kind',
    'status',
  ]),
  request_duration_ms: define('histogram', 'Duration of a request', ['kind']),
  attempts_total: define('counter', 'Requests sent to targets by result', [
    'service',
    'result',
  ]),
  crash_records_total: define('counter', 'Records of target crashes', [
    'event',
  ]),
  trial_runs_total: define('counter', 'Trials of quarantined requests', [
    'result',
  ]),
  quarantined_requests: define('gauge', 'Requests in quarantine', []),
  target_wait_ms: define('histogram', 'Wait for a free slot at a target', [
    'service',
  ]),
  connections_ended_total: define(
    'counter',
    'Connections that were refused or ended to save resources',
    ['port', 'reason'],
  ),
  key_refusals_total: define('counter', 'Calls without a key in force', [
    'hasKey',
  ]),
  tenant_requests_total: define('counter', 'Requests by tenant and status', [
    'tenant',
    'status',
  ]),
  quota_wait_ms: define('histogram', 'Time to ask for a place in a quota', []),
  quota_refusals_total: define('counter', 'Calls that a quota did not allow', [
    'result',
  ]),
  quota_exchanges_total: define('counter', 'Requests for places in quotas', [
    'kind',
  ]),
  quotas_held: define('gauge', 'Tenants whose requests are counted here', []),
  limited_targets: define('gauge', 'Targets with a rate limit', []),
  relayed_requests_total: define('counter', 'Requests relayed for others', [
    'result',
  ]),
  cut_links: define('gauge', 'Links to targets that are cut', []),
  turn_store_ms: define('histogram', 'Time to make a turn durable', []),
  turns_stored_total: define('counter', 'Durable turns by place', ['place']),
  reservation_ms: define('histogram', 'Time to reserve tokens', []),
  archive_turns: define('gauge', 'Turns held by the archive', []),
  archive_incomplete_turns: define(
    'gauge',
    'Turns that lack replicas on other disks',
    [],
  ),
  turn_objects: define(
    'gauge',
    'Batches of turns in the object API that disks lack',
    [],
  ),
  archive_programs: define('gauge', 'Programs in the ledger', []),
  archive_requests_total: define('counter', 'Requests to the archive', [
    'request',
  ]),
  log_lines_dropped_total: define('counter', 'Dropped log lines', []),
  uncommitted_bytes: define(
    'gauge',
    'Bytes of turns that are not yet durable',
    [],
  ),
} as const satisfies Record<string, MetricDefinition>;

/** Key of a metric in the catalogue. */
export type MetricName = keyof typeof metricCatalogue;

/** Names of the metrics of one type. */
export type MetricNameOf<Type extends MetricDefinition['type']> = {
  [Name in MetricName]: (typeof metricCatalogue)[Name]['type'] extends Type
    ? Name
    : never;
}[MetricName];

/** Values of the labels that a metric must be recorded with. */
export type MetricLabels<Name extends MetricName> = {
  readonly [Label in (typeof metricCatalogue)[Name]['labels'][number]]: string;
};

function define<
  const Type extends MetricDefinition['type'],
  const Labels extends readonly string[],
>(type: Type, help: string, labels: Labels) {
  return {type, help, labels};
}
