/** Creates the tracker of the paths to targets, with the test connections that it needs. */
import type { createConnector, Clock, Log, Metrics, PeerTunnels, Random } from '../shared'
import { TARGET_CONNECT_TIMEOUT_MS } from './constants'
import { createTargetProbe } from './exchange'
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
  /** Path of the call by which a target tells its state. */
  statePath: string
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
  { outgoing, statePath, tunnels, targets, gossip, onChange, ...options }: CreatePathsOptions
): InstancePaths {
  const askPeer: InstancePathsOptions['askPeer'] = async ({ instance, peerAddress }, address) => {
    const opened = await tunnels.open({ instance, peerAddress, address })
    if (opened.isOk()) opened.value.destroy()
    return opened.isOk()
  }

  const probe = createTargetProbe({ ...outgoing, connectTimeoutMs: TARGET_CONNECT_TIMEOUT_MS, statePath })
  const paths = createTargetPaths({ ...options, listTargets: targets.all, peers: gossip.peers, probe, askPeer })
  paths.onLost(onChange)
  paths.onReturn(onChange)
  return paths
}
