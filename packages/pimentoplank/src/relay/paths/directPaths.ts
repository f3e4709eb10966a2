/** Paths of an instance that has no peers to go through. */
import type { TargetPaths } from './types'

/** Creates paths that are always direct. */
export function createDirectPaths (): TargetPaths {
  return {
    choose: () => ({ type: 'direct' }),
    isDirectUsable: () => true,
    recordConnected: () => undefined,
    recordConnectFailed: () => undefined,
    recordBytes: () => undefined,
    recordPeerOutcome: () => undefined
  }
}
