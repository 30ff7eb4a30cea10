/** Order, placement and cache holding of calls. */
export * from './call_scheduler.js';
export * from './cache/block_hashes.js';
