/** Clients of the platform: object API, VM list. */
export * from './store/object_store.js';
export * from './vms/vm_list.js';
export * from './fleet/fleet_view.js';
