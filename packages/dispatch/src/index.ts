/** Decisions under load: order, placement, health, refusal. */
export * from './placement/placement_cost.js';
export * from './queue/waiting_queue.js';
export * from './service_dispatcher.js';
export * from './targets/pace.js';
export * from './targets/prompt_cache.js';
export * from './targets/target_health.js';
export * from './targets/target_state.js';
