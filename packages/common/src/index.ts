/** Identifiers, errors, clocks and utilities shared by every package. */
export * from './ids/ids.js';
export * from './errors/error_kind.js';
export * from './errors/marigoldpost_error.js';
export * from './time/clock.js';
export * from './time/system_clock.js';
export * from './time/virtual_clock.js';
export * from './random/random.js';
export * from './resilience/backoff.js';
export * from './resilience/retry_budget.js';
export * from './utils/async_queue.js';
export * from './utils/binary_heap.js';
export * from './utils/client_connections.js';
export * from './utils/connection_reset.js';
export * from './utils/deferred.js';
export * from './utils/digest.js';
export * from './utils/linked_list.js';
export * from './utils/parse_json.js';
