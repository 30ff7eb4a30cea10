/** Daemon settings and the operators' text. */
export * from './daemon/daemon_settings.js';
export * from './operators/operators_config.js';
