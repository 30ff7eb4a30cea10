/** Programs: order, history, budget, intents, recovery. */
export * from './calls/call.js';
export * from './calls/program_view.js';
