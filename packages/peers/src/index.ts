/** Membership and messages between daemons. */
export * from './transport/peer_transport.js';
