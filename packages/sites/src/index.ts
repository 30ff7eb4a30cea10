/** Model of a site: routes, services, targets, calls and settings. */
export * from './calls/call_attributes.js';
export * from './calls/call_codec.js';
export * from './config/route.js';
export * from './config/route_table.js';
export * from './config/tenant.js';
export * from './config/tenant_table.js';
export * from './config/site_config.js';
export * from './node/node_settings.js';
export * from './platform/site_platform.js';
export * from './targets/network_address.js';
export * from './targets/target_entry.js';
