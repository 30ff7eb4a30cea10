/** Benchmarks: workloads, experiments, cost measurements and reports. */
export * from './capacity/capacity_sizes.js';
export * from './capacity/capacity_tables.js';
export * from './capacity/measure_capacity.js';
export * from './control/control_report.js';
export * from './decision_cost/measure_decision_cost.js';
export * from './experiments/compare_experiments.js';
export * from './experiments/plot_experiment.js';
export * from './experiments/run_experiment.js';
export * from './path/measure_path.js';
export * from './path/path_summary.js';
export * from './policies/policy_catalogue.js';
export * from './reports/benchmark_report.js';
export * from './reports/csv.js';
export * from './targets/target_client_bench.js';
export * from './workloads/workload_catalogue.js';
