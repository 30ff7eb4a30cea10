/** Log events, metrics and bounded log output. */
export * from './connections/connection_end_log.js';
export * from './events/event_catalogue.js';
export * from './events/event_definition.js';
export * from './events/event_logger.js';
export * from './metrics/metric_catalogue.js';
export * from './metrics/metrics.js';
export * from './output/bounded_output.js';
