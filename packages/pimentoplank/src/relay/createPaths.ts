/** Creates the tracker of the paths to targets, with the test connections that it needs. */
import {
  createConnector, toConnectOptions, type Clock, type Log, type Metrics, type PeerTunnels, type Random
} from '../shared'
import { TARGET_CONNECT_TIMEOUT_MS } from './constants'
import type { Gossip } from './gossip'
import type { PeerUses } from './load'
import { createTargetPaths, type InstancePaths, type InstancePathsOptions } from './paths'
import type { TargetDirectory } from './targets'

export interface OutgoingOptions {
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
  /** Creates the function that establishes connections. */
  connectors?: typeof createConnector
}

export interface CreatePathsOptions {
  outgoing: OutgoingOptions
  tunnels: Pick<PeerTunnels, 'open'>
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
export function createPaths (
  { outgoing, tunnels, targets, gossip, onChange, ...options }: CreatePathsOptions
): InstancePaths {
  const askPeer: InstancePathsOptions['askPeer'] = async ({ instance, peerAddress }, address) => {
    const opened = await tunnels.open({ instance, peerAddress, address })
    if (opened.isOk()) opened.value.destroy()
    return opened.isOk()
  }

  const paths = createTargetPaths({
    ...options, listTargets: targets.all, peers: gossip.peers, probe: createProbe(outgoing), askPeer
  })
  paths.onLost(onChange)
  paths.onReturn(onChange)
  return paths
}

/** Creates the function that opens a connection to an address, and closes it without a request. */
export function createProbe (
  { localAddress, connectors = createConnector }: OutgoingOptions
): (address: string) => Promise<boolean> {
  const connect = connectors({ timeoutMs: TARGET_CONNECT_TIMEOUT_MS, localAddress })
  return async (address) => await new Promise<boolean>((resolve) => {
    connect(toConnectOptions(address), (_cause, socket) => {
      // Errors after the outcome say nothing more.
      socket?.on('error', () => undefined)
      socket?.destroy()
      resolve(socket != null)
    })
  })
}
