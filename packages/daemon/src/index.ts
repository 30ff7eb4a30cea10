/** One daemon: every part, wired. */
export * from './daemon_core.js';
export * from './daemon_options.js';
export * from './daemon.js';
