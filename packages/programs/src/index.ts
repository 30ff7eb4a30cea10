/**
 * Programs and the partitions that hold them: call order, history, budgets,
 * dispatch intents, recovery and partition ownership.
 */
export * from './calls/call.js';
export * from './calls/program_view.js';
export * from './execution/call_stream.js';
export * from './execution/call_ticket.js';
export * from './execution/call_traits.js';
export * from './execution/program_manager_options.js';
export * from './execution/program_manager_types.js';
export * from './execution/program_for_key.js';
export * from './execution/program_manager.js';
export * from './execution/record_copier.js';
export * from './execution/turn_context.js';
export * from './ownership/handover_sender.js';
export type {GrantBound} from './records/program_record.js';
export * from './ownership/partition_manager.js';
export * from './ownership/partition_manager_options.js';
