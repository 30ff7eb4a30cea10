/** Clients, registry, quarantine and orders of targets. */
export * from './engine/engine_client.js';
export * from './engine/http_engine_client.js';
export * from './plain/plain_service_client.js';
export * from './plain/http_plain_service_client.js';
export * from './registry/circuit_breaker.js';
export * from './registry/target_clients.js';
export * from './registry/target_registry.js';
export * from './registry/target_view.js';
export * from './sse/sse_reader.js';
export * from './quarantine/quarantine.js';
export * from './quarantine/fingerprint.js';
export * from './quarantine/trial_record.js';
export * from './orders/order_sender.js';
