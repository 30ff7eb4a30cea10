/** Programs: order, history, budget, intents, recovery. */
export * from './calls/call.js';
export * from './calls/program_view.js';
export * from './keeper/call_stream.js';
export * from './keeper/call_ticket.js';
export * from './keeper/call_traits.js';
export * from './keeper/keeper_options.js';
export * from './keeper/keeper_types.js';
export * from './keeper/program_for_key.js';
export * from './keeper/program_keeper.js';
export * from './keeper/record_copier.js';
export * from './keeper/turn_context.js';
export * from './ownership/handover_sender.js';
export type {GrantNote} from './records/program_record.js';
export * from './ownership/partition_manager.js';
export * from './ownership/partition_manager_options.js';
