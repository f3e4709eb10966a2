/** Creates the tracker of the paths to targets, with the test connections that it needs. */
import {
  createConnector, toConnectOptions, type Clock, type Log, type Metrics, type PeerTunnels, type Random
} from '../shared'
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
  const { localAddress, connectors = createConnector } = outgoing
  const probe = createTargetProbe({
    connect: ({ address, onBytes, done }) =>
      connectors({ timeoutMs: TARGET_CONNECT_TIMEOUT_MS, localAddress, onBytes })(toConnectOptions(address), done),
    statePath
  })
  const askPeer: InstancePathsOptions['askPeer'] = async ({ instance, peerAddress }, target) => {
    const probeThroughPeer = createTargetProbe({
      connect: ({ address, done }) => {
        tunnels.open({ instance, peerAddress, address })
          .then((opened) => opened.match((socket) => done(null, socket), (cause) => done(cause)))
          .catch(done)
      },
      statePath
    })
    return await probeThroughPeer(target) === 'answered'
  }
  const paths = createTargetPaths({ ...options, listTargets: targets.all, peers: gossip.peers, probe, askPeer })
  paths.onLost(onChange)
  paths.onReturn(onChange)
  return paths
}
