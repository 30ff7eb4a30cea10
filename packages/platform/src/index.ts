/** Clients of the platform's object API and VM list, and leases on it. */
export * from './http/http_channel.js';
export * from './http/http_types.js';
export * from './store/object_store.js';
export * from './store/http_object_store.js';
export * from './vms/vm_list.js';
export * from './vms/http_vm_list.js';
export * from './fleet/fleet_view.js';
export * from './store/write_resolver.js';
export * from './leases/lease.js';
export * from './leases/lease_renewer.js';
export * from './leases/lease_observer.js';
export * from './partitions/partition_directory.js';
export * from './store/put_object.js';
export * from './store/store_call.js';
export * from './store/store_errors.js';
export * from './watch/object_watcher.js';
export * from './watch/watch_group.js';
