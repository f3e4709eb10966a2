/** Creates the tracker of the paths to targets, with the test connections that it needs. */
import { connect } from 'node:net'
import type { Clock, Log, Metrics, Random } from '../shared'
import { TARGET_CONNECT_TIMEOUT_MS } from './constants'
import type { Gossip } from './gossip'
import type { PeerUses } from './load'
import { createTargetPaths, type InstancePaths } from './paths'
import type { TargetDirectory } from './targets'

export interface CreatePathsOptions {
  failureDomain: string
  targets: Pick<TargetDirectory, 'all'>
  gossip: Pick<Gossip, 'peers'>
  peerUses: PeerUses
  /** Called when this instance is cut off from targets, and when it no longer is; peers should know soon. */
  onChange: () => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

/** Creates the tracker of an instance. */
export function createPaths ({ targets, gossip, onChange, ...options }: CreatePathsOptions): InstancePaths {
  const paths = createTargetPaths({ ...options, listTargets: targets.all, peers: gossip.peers, probe: probeTarget })
  paths.onLost(onChange)
  paths.onReturn(onChange)
  return paths
}

/**
 * Opens a connection and closes it without a request.
 *
 * @param address - IP number and port
 */
export async function probeTarget (address: string): Promise<boolean> {
  const colon = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) })
  try {
    return await new Promise<boolean>((resolve) => {
      socket.once('connect', () => resolve(true))
      socket.once('error', () => resolve(false))
      socket.setTimeout(TARGET_CONNECT_TIMEOUT_MS, () => resolve(false))
    })
  } finally {
    // Errors after the outcome say nothing more.
    socket.on('error', () => undefined)
    socket.destroy()
  }
}
