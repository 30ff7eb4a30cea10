/** Load, experiments and reports. */
export * from './targets/target_client_bench.js';
