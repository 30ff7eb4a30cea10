/** Operators' configuration, status and HTTP routes. */
export * from './config/config_follower.js';
export * from './config/config_store.js';
export * from './config/config_record.js';
export * from './utils/line_difference.js';
export * from './audit/action_log.js';
export * from './http/operations_context.js';
export * from './http/operations_routes.js';
export * from './status/fleet_status.js';
export * from './status/status_source.js';
