/** Request ordering, target selection, ejection and load shedding. */
export * from './placement/placement_cost.js';
export * from './queue/request_queue.js';
export * from './rate_limits/permit_schedule.js';
export * from './rate_limits/permit_scheduler.js';
export * from './rate_limits/permit_source.js';
export * from './rate_limits/rate_limiter.js';
export * from './rate_limits/target_limits.js';
export * from './service_dispatcher.js';
export * from './targets/prompt_cache_estimate.js';
export * from './targets/relative_latency.js';
export * from './targets/target_health.js';
export * from './targets/target_state.js';
