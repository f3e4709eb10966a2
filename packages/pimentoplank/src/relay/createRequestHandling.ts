/** Handles the requests of callers: the handler of an instance, and the slots in which live requests run. */
import type { Clock, Log, MemoryBudget, Metrics, PeerTransports, Random } from '../shared'
import type { ShutdownController } from '../entry/stopping'
import { createRelayHandler, type CallerProtocol, type RelayHandler } from './callers'
import type { TargetAccess } from './createTargetAccess'
import type { Gossip } from './gossip'
import type { ItemRunner, JobApi } from './jobs'
import { createSilenceDetector, createSlotScheduler, type CrashTracker, type OpenRequests, type SlotScheduler } from './live'
import type { RouteTable } from './routing'
import { RELAY_RULES } from './rules'
import type { RelaySettings } from './settings'
import {
  createStreamBinder, createStreamVersionFinder,
  type ReadCurrentVersions, type ServiceVersions, type StreamVersions
} from './streams'

export interface RequestHandlingOptions {
  instance: RelaySettings['instance']
  protocol: CallerProtocol
  getRouteTable: () => RouteTable | undefined
  /** Resolves when this instance can place requests, or when it has tried to start for too long. */
  whenStarted: Promise<void>
  transports: PeerTransports
  gossip: Gossip
  access: Pick<TargetAccess, 'loads' | 'paths' | 'exchange'>
  streamVersions: StreamVersions
  serviceVersions: ServiceVersions
  readCurrentVersions: ReadCurrentVersions
  crashes: CrashTracker
  openRequests: OpenRequests
  runner: Pick<ItemRunner, 'yieldItems'>
  jobs: JobApi
  shutdown: Pick<ShutdownController, 'getStage' | 'getLeftMs' | 'trackRequest'>
  memory: MemoryBudget
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface RequestHandling {
  slotScheduler: SlotScheduler
  handle: RelayHandler
}

/** Creates the scheduler of the slots and the handler. */
export function createRequestHandling (options: RequestHandlingOptions): RequestHandling {
  const {
    instance, protocol, getRouteTable, whenStarted, transports, gossip, access: { loads, paths, exchange },
    streamVersions, serviceVersions, readCurrentVersions, crashes, openRequests, runner, jobs, shutdown,
    memory, clock, random, metrics, log
  } = options
  const slotScheduler = createSlotScheduler({
    loads,
    gossip,
    yieldOwn: runner.yieldItems,
    failureDomain: instance.failureDomain,
    countSharers: () => 1 + gossip.peers()
      .filter(({ report }) => report.stage === 'serving' && gossip.isClose(report.failureDomain)).length,
    rules: RELAY_RULES.live,
    clock,
    random,
    metrics,
    log
  })
  const handle = createRelayHandler({
    protocol,
    getRouteTable,
    whenStarted,
    live: {
      slotScheduler,
      exchange,
      loads,
      paths,
      silenceDetector: createSilenceDetector(clock),
      streamBinder: createStreamBinder({ streamVersions, gossip }),
      streamVersionFinder: createStreamVersionFinder({
        streamVersions,
        peers: gossip.peers,
        transports,
        whenVersionsLoaded: serviceVersions.whenLoaded,
        getVersionHistory: (service) => ({
          ...serviceVersions.getHistory(service),
          hasOutdatedEntries: loads.getLoads(service).some(({ isOutdated }) => isOutdated)
        }),
        readCurrentVersions,
        clock,
        metrics,
        log
      }),
      crashes,
      openRequests,
      rules: RELAY_RULES.live,
      clock,
      metrics,
      log
    },
    jobs,
    isLeaving: () => shutdown.getStage() !== 'serving',
    isClosed: () => shutdown.getStage() === 'closed',
    getLeftMs: shutdown.getLeftMs,
    trackRequest: shutdown.trackRequest,
    memory,
    clock,
    random,
    log
  })

  return { slotScheduler, handle }
}
