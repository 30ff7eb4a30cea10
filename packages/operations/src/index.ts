/** Operators' side: the operators' text, its changes and its spread. */
export * from './config/config_follower.js';
export * from './config/config_store.js';
export * from './config/operators_text.js';
export * from './utils/line_difference.js';
