/** Types of the paths over which an instance reaches targets. */

/** How a new connection to a target is opened. */
export type PathChoice =
  | { type: 'direct' }
  /** Through a peer that reaches the target. */
  | { type: 'peer', instance: string, peerAddress: string }

/** Outcome of a test call: `silent` if a connection was established but brought nothing in time. */
export type ProbeOutcome = 'answered' | 'failed' | 'silent'

/** Observes the connections to targets, which are identified by their addresses. */
export interface PathObserver {
  /** Records the first bytes on a direct connection; a proxy may accept those to targets that it doesn't reach. */
  recordConnected: (address: string) => void
  /** Records that a direct connection could not be established, or was reset before it brought bytes. */
  recordConnectFailed: (address: string) => void
  /** Records that bytes arrived on a direct connection. */
  recordBytes: (address: string) => void
  /** Records whether a peer opened a connection; a failure says which of the two could not be reached. */
  recordPeerOutcome: (instance: string, address: string, outcome: 'connected' | 'peerFailed' | 'targetFailed') => void
}

/** Chooses the path of connections to targets. */
export interface TargetPaths extends PathObserver {
  choose: (address: string) => PathChoice
  /** False while open direct connections to the target may hang, so that idle ones are not used. */
  isDirectUsable: (address: string) => boolean
}
