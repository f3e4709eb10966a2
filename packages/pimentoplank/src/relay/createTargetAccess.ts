/** The access of an instance to targets: paths, load, limits and connections. */
import { createPeerTunnels, type Clock, type Log, type Metrics, type PeerSecurity, type PeerTunnels, type Random } from '../shared'
import { PREFERRING_INSTANCES, TARGET_CONNECT_TIMEOUT_MS, TARGET_IDLE_TIMEOUT_MS } from './constants'
import { createPaths, type OutgoingOptions } from './createPaths'
import {
  createDirectConnector, createExchange, createProcessViews, createStateCall, createTargetConnectionPool,
  createTargetConnector, type DirectConnector, type Exchange, type StateCall, type TargetConnectionPool,
  type ViewProcess
} from './exchange'
import type { Gossip } from './gossip'
import {
  createLoadView, createPeerUses, createTargetLimits, createTargetPreference,
  type LoadView, type PeerUses, type TargetLimits
} from './load'
import type { TargetProtocol } from './model'
import type { InstancePaths } from './paths'
import { RELAY_RULES } from './rules'
import type { RelaySettings } from './settings'
import type { TargetDirectory } from './targets'

export interface TargetAccessOptions {
  instance: RelaySettings['instance']
  protocol: TargetProtocol
  outgoing: OutgoingOptions
  security: PeerSecurity
  targets: TargetDirectory
  gossip: Gossip
  /** Called when something has changed that peers should know soon. */
  onChange: () => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface TargetAccess {
  tunnels: PeerTunnels
  paths: InstancePaths
  limits: TargetLimits
  peerUses: PeerUses
  loads: LoadView
  /** Connects to targets without the help of peers. */
  connectDirect: DirectConnector
  connections: TargetConnectionPool
  exchange: Exchange
  /** Asks the process at an address for its start. */
  callState: StateCall
  /** Looks at the process of a target. */
  viewProcess: ViewProcess
}

/** Creates the access and subscribes it to the reports of peers. */
export function createTargetAccess (options: TargetAccessOptions): TargetAccess {
  const { instance, protocol, outgoing, security, targets, gossip, onChange, clock, random, metrics, log } = options
  const peerUses = createPeerUses(gossip.peers(), clock)
  gossip.onReport((report, before) => peerUses.replaceReport(before, report))
  gossip.onDigest(peerUses.replaceDigest)
  gossip.onPeerLost(({ report }) => peerUses.replaceReport(report, undefined))
  const tunnels = createPeerTunnels({ self: instance.id, security, metrics, log })
  const paths = createPaths({
    outgoing,
    statePath: protocol.state.path,
    tunnels,
    failureDomain: instance.failureDomain,
    targets,
    gossip,
    peerUses,
    onChange,
    clock,
    random,
    metrics,
    log
  })
  const limits = createTargetLimits({
    self: instance.id,
    listInstances: () => [
      { id: instance.id, failureDomain: instance.failureDomain },
      // Instances that leave still send the requests that they have accepted.
      ...gossip.peers().filter(({ report }) => report.stage !== 'starting')
        .map(({ report }) => ({ id: report.instance, failureDomain: report.failureDomain }))
    ],
    onChange,
    clock,
    log
  })
  const loads = createLoadView({
    targets,
    peerUses,
    peers: gossip.peers,
    isClose: gossip.isClose,
    isPreferred: createTargetPreference({
      self: instance, gossip, preferringInstances: PREFERRING_INSTANCES, clock
    }),
    limits,
    paths,
    rules: RELAY_RULES.suspicion,
    clock,
    metrics,
    log
  })
  const connectDirect = createDirectConnector({ ...outgoing, timeoutMs: TARGET_CONNECT_TIMEOUT_MS, observer: paths })
  const connections = createTargetConnectionPool({
    settings: { idleTimeoutMs: TARGET_IDLE_TIMEOUT_MS },
    connect: createTargetConnector({ connectDirect, paths, tunnels, clock, log }),
    paths,
    clock,
    metrics
  })
  paths.onLost(connections.dropConnecting)
  const exchange = createExchange({
    protocol,
    connections,
    onHead: ({ id, startedAt }, head, processStartedAt) => {
      if (head.isLeaving) recordLeaving(id, startedAt, processStartedAt)
      // Only a signed answer is known to be whole, so that the absence of a limit says something.
      if (head.limitPerSecond !== undefined || head.isSigned) limits.recordAnswer(id, head.limitPerSecond)
    },
    onOtherProcess: loads.recordOutdated,
    clock,
    metrics,
    log
  })

  const callState = createStateCall({ connectDirect, tunnels, state: protocol.state })
  const viewProcess = createProcessViews({
    callState,
    failureDomain: instance.failureDomain,
    listTargets: targets.all,
    peers: gossip.peers,
    random
  })

  /** A process that was asked may be another one than that of the entry, which then is out of date. */
  function recordLeaving (id: string, listed: number | undefined, found: number | undefined): void {
    const isNew = [...new Set([listed, found ?? listed])].map((startedAt) => targets.recordLeaving(id, startedAt))
    if (isNew.includes(true)) onChange()
  }

  return { tunnels, paths, limits, peerUses, loads, connectDirect, connections, exchange, callState, viewProcess }
}
