/** The daemon: serves callers, schedules calls and joins the fleet. */
export * from './daemon_core.js';
export * from './daemon_options.js';
export * from './daemon.js';
