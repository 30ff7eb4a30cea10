/** Processes of a site: entry VMs and archive VMs. */
export * from './archive/archive_node.js';
export * from './entry/config_follower.js';
export * from './entry/entry_node.js';
export * from './node_options.js';
export * from './site_node.js';
export * from './targets/target_roster.js';
