/** Fleet membership and request transports between daemons. */
export * from './generated/marigoldpost/peers/v1/peers_pb.js';
export * from './membership/member_seed.js';
export * from './membership/membership.js';
export * from './membership/membership_listener.js';
export * from './membership/own_state.js';
export * from './transport/connect_peer_transport.js';
export * from './transport/connection_refused.js';
export * from './transport/peer_error_codec.js';
export * from './transport/peer_transport.js';
export * from './transport/reply_window.js';
export * from './transport/tls_material.js';
export {maxFrameBytes} from './messages/message_framer.js';
export * from './messages/message_transport.js';
export type {PeerPortLimits} from './messages/served_connections.js';
export * from './messages/quarantine_codec.js';
export * from './messages/target_limit_codec.js';
