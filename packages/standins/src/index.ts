/** Stand-ins for what surrounds the project, for tests and the demo. */
export * from './engine/block_cache.js';
export * from './engine/cache_event_log.js';
export * from './engine/engine_model.js';
export * from './engine/engine_model_request.js';
export * from './memory/memory_object_store.js';
export * from './memory/memory_peer_network.js';
