export { createPeerServer, type PeerServer, type PeerServerOptions } from './peerServer'
export { createPeerTransports, type PeerTransports, type PeerTransportsOptions } from './peerTransports'
export {
  createPeerTunnels, isPeerFailure, TunnelBrokenError, TunnelRefusedError,
  type PeerTunnels, type PeerTunnelsOptions, type TunnelRequest
} from './peerTunnels'
export { type TunnelServerOptions } from './tunnelServer'
export { loadPeerSecurity, type PeerSecurity } from './peerSecurity'
export * from './gen/pimentoplank/v1/feed_pb'
export * from './gen/pimentoplank/v1/status_pb'
export * from './gen/pimentoplank/v1/once_pb'
export * from './gen/pimentoplank/v1/slots_pb'
export * from './gen/pimentoplank/v1/relay_pb'
