export { createPeerServer, type PeerServer, type PeerServerOptions } from './peerServer'
export { createPeerTransports, type PeerTransports, type PeerTransportsOptions } from './peerTransports'
export { loadPeerSecurity, type PeerSecurity } from './peerSecurity'
export * from './gen/pimentoplank/v1/status_pb'
