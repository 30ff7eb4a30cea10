/** Ordering and placement of calls, and retention of their cached prefixes. */
export * from './call_scheduler.js';
export * from './cache/block_hashes.js';
export * from './cache/cache_index.js';
export * from './estimates/service_estimates.js';
export * from './hold/expected_cost_hold.js';
export * from './hold/hold_policy.js';
export * from './order/attained_service_order.js';
export * from './order/order_policy.js';
export * from './placement/expected_finish_placement.js';
export * from './placement/least_in_flight_placement.js';
export * from './placement/placement_policy.js';
export * from './policy/policy_scheduler.js';
export type * from './targets/target_state.js';
export type * from './targets/target_window.js';
