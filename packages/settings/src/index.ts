/** Daemon settings and the operators' configuration. */
export * from './daemon/daemon_settings.js';
export * from './daemon/daemon_schema.js';
export * from './daemon/daemon_text.js';
export * from './ini/text_problem.js';
export * from './operators/dependency_graph.js';
export * from './operators/operators_config.js';
export * from './operators/operators_schema.js';
export * from './operators/operators_text.js';
export * from './operators/team_approval.js';
export * from './schema/key_definition.js';
export * from './utils/nearest_name.js';
