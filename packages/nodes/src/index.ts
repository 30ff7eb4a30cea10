/** Daemons of a site, for entry VMs and archive VMs. */
export * from './archive/archive_node.js';
export * from './archive/quarantine_log.js';
export * from './archive/quarantine_relay.js';
export * from './entry/site_config_updater.js';
export * from './entry/entry_directory.js';
export * from './entry/entry_node.js';
export * from './entry/permit_exchange.js';
export * from './entry/quarantine_exchange.js';
export * from './entry/quarantine_receiver.js';
export * from './entry/quarantine_replicator.js';
export * from './node_options.js';
export * from './quarantine_settings.js';
export * from './site_node.js';
export * from './targets/target_directory.js';
export * from './utils/background_tasks.js';
