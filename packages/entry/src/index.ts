/** Callers' HTTP. */
export * from './call_gateway.js';
