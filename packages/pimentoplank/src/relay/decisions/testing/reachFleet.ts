/** Simulated instances with the beliefs of the relay: their loads, suspicions and paths. */
import { createEmptyReport } from '../../../../features/support/emptyReport'
import type { ManualClock } from '../../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, type Random } from '../../../shared'
import type { PeerView, Report } from '../../gossip'
import { createLoadView, createPeerUses, type LoadView, type PeerUses } from '../../load'
import type { Target } from '../../model'
import { createTargetPaths, type InstancePaths, type ProbeOutcome } from '../../paths'
import { RELAY_RULES } from '../../rules'

export interface ReachRequest {
  instance: number
  arrivedAt: number
  isServed: boolean
  /** Milliseconds until the first bytes; undefined if none came. */
  firstMs?: number
}

export interface SimulatedRun {
  request: ReachRequest
  target: number
  via?: number
  state: 'connecting' | 'open'
  /** When the connection is established or fails. */
  connectAt: number
  sentAt: number
  lastBytesAt: number
  hasBytes: boolean
  /** True when its connection has carried no other. */
  isNew: boolean
  /** Bytes that have come, as the time that they take. */
  doneMs: number
  triesLeft: number
  tried: Set<number>
}

export interface SimulatedInstance {
  index: number
  paths: InstancePaths
  loads: LoadView
  peerUses: PeerUses
  reports: Map<string, PeerView>
  own: Report
  reportedAt: number
  isChanged: boolean
  runs: Set<SimulatedRun>
  idle: number[]
}

export const SIMULATED_INSTANCES = 7
export const TARGETS = 8
export const SLOTS = 8
const DOMAINS = ['a', 'b']

/** The first half is in failure domain a, the rest in b. */
export const REACH_TARGETS = Array.from({ length: TARGETS }, (_, index): Target => ({
  id: `t${index}`,
  service: 's',
  address: `10.0.0.${index}:80`,
  failureDomain: DOMAINS[index < TARGETS / 2 ? 0 : 1]!,
  version: 'v1',
  slots: SLOTS,
  state: 'ready'
}))

const directory = {
  all: () => REACH_TARGETS,
  get: (id: string) => REACH_TARGETS.find((target) => target.id === id),
  getUsable: () => REACH_TARGETS,
  getLeaving: () => []
} as unknown as Parameters<typeof createLoadView>[0]['targets']

/** Creates an instance with empty reports of its peers. */
export function createSimulatedInstance (
  index: number,
  clock: ManualClock,
  random: Random,
  probe: (instance: number, address: string) => Promise<ProbeOutcome>
): SimulatedInstance {
  const failureDomain = DOMAINS[index % DOMAINS.length]!
  const metrics = createInMemoryMetrics()
  const log = createSilentLog()
  const reports = new Map<string, PeerView>()
  const peers = (): PeerView[] => [...reports.values()]
  const peerUses = createPeerUses([], clock)
  const paths = createTargetPaths({
    askPeer: async ({ instance }, address) => await probe(Number(instance), address) === 'answered',
    failureDomain,
    listTargets: () => REACH_TARGETS,
    peers,
    peerUses,
    probe: async (address) => await probe(index, address),
    clock,
    random,
    metrics,
    log
  })
  const loads = createLoadView({
    targets: directory,
    peerUses,
    peers,
    isClose: () => true,
    isPreferred: () => false,
    limits: { getAllowance: () => Infinity, getLimit: () => undefined, take: () => undefined },
    paths,
    rules: RELAY_RULES.suspicion,
    clock,
    metrics,
    log
  })
  const own = createEmptyReport({ instance: String(index), failureDomain, peerAddress: `10.1.0.${index}:80` })
  return {
    index,
    paths,
    loads,
    peerUses,
    reports,
    own,
    reportedAt: -Infinity,
    isChanged: true,
    runs: new Set(),
    idle: REACH_TARGETS.map(() => 0)
  }
}
