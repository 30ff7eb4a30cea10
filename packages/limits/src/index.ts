/** Limits of services and teams, divided among all daemons by grants. */
export * from './allocator/limit_allocator.js';
export * from './limiter/grant_client.js';
export * from './limiter/concurrency_limiter.js';
export * from './limiter/grant_session.js';
export * from './limiter/rate_limiter.js';
export * from './names/limit_id.js';
export * from './names/limit_terms.js';
export * from './quota/quota_bucket.js';
export * from './quota/quota_holder.js';
export * from './quota/quota_share.js';
