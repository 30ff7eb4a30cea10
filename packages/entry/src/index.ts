/** HTTP API for callers. */
export * from './call_gateway.js';
export * from './auth/call_headers.js';
export * from './auth/key_index.js';
export * from './http/error_body.js';
export * from './http/exchange.js';
export * from './http/validation.js';
export * from './programs/program_json.js';
export * from './server/caller_server.js';
export * from './server/route.js';
