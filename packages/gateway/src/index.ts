/** Serves client requests on an entry VM: HTTP server, routing, relaying. */
export * from './responses/event_collector.js';
export * from './responses/error_response.js';
export * from './calls/call_handler.js';
export * from './calls/call_services.js';
export * from './calls/crash_tracker.js';
export * from './calls/target_sender.js';
export * from './links/link_monitor.js';
export * from './links/link_prober.js';
export * from './relay/relay_peers.js';
export * from './relay/relay_server.js';
export * from './server/gateway_server.js';
export * from './server/page_server.js';
export * from './site/site_state.js';
export * from './targets/target_agent.js';
export * from './targets/target_agents.js';
export * from './targets/http_exchange.js';
export * from './targets/target_exchange.js';
