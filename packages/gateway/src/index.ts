/** Serves client requests on an entry VM: HTTP server, routing, relaying. */
export * from './access/call_access.js';
export * from './access/quota_source.js';
export * from './responses/body_end.js';
export * from './responses/block_pool.js';
export * from './responses/event_collector.js';
export * from './responses/error_response.js';
export * from './responses/response_memory.js';
export type {ResponseAllowance} from './responses/response_allowance.js';
export * from './responses/silence_watch.js';
export * from './responses/stream_relay.js';
export {
  getConnectionHeaders,
  writeResponse,
} from './responses/write_response.js';
export type {TargetBody} from './responses/target_body.js';
export * from './calls/body_reader.js';
export * from './calls/call_handler.js';
export * from './calls/call_services.js';
export * from './calls/crash_tracker.js';
export * from './calls/quota_permit.js';
export * from './calls/request_allowance.js';
export * from './calls/request_memory.js';
export * from './calls/target_sender.js';
export {Trial, type TrialEnd} from './calls/trial.js';
export * from './calls/trial_gate.js';
export * from './calls/trial_source.js';
export type {IncomingCall} from './calls/incoming_call.js';
export * from './links/link_monitor.js';
export * from './links/link_prober.js';
export * from './links/loss_detector.js';
export * from './relay/peer_exchange.js';
export * from './relay/relay_codec.js';
export * from './relay/relay_peers.js';
export * from './relay/relay_server.js';
export * from './server/gateway_server.js';
export * from './server/guarded_connections.js';
export * from './server/input_pacer.js';
export * from './server/page_server.js';
export * from './server/stalled_writes.js';
export * from './site/site_state.js';
export * from './targets/target_agent.js';
export * from './targets/target_agents.js';
export * from './targets/http_exchange.js';
export * from './targets/target_exchange.js';
export * from './targets/wait_for_connect.js';
