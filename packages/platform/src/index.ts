/** Clients of the platform: object API, VM list. */
export * from './http/http_channel.js';
export * from './http/http_types.js';
export * from './store/object_store.js';
export * from './store/http_object_store.js';
export * from './vms/vm_list.js';
export * from './vms/http_vm_list.js';
export * from './fleet/fleet_view.js';
