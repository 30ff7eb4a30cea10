/** Stand-ins for what surrounds the project, for tests and the demo. */
export * from './memory/memory_object_store.js';
