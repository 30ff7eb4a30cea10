/** Limits of owners over all daemons: grants, rates and their keepers. */
export * from './holder/grant_client.js';
export * from './holder/grant_holder.js';
export * from './holder/grant_session.js';
export * from './holder/rate_holder.js';
export * from './keeper/limit_keeper.js';
export * from './names/limit_id.js';
export * from './names/limit_terms.js';
