/** Clients of targets: model engines and plain services. */
export * from './engine/engine_client.js';
export * from './plain/plain_service_client.js';
