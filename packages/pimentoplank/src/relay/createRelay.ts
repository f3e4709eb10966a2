/** Creates a relay instance from its components. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createPeerServer, createPeerTransports, createSystemClock, describeCause } from '../shared'
import { createShutdownController } from '../entry/stopping'
import { createDirectory } from './callers'
import {
  DIRECTORY_MAX_AGE_MS, DIRECTORY_STALENESS_FACTOR, GOSSIP_SETTINGS, LEAVING_GRACE_SHARE, MAX_START_WAIT_MS,
  REMOVAL_GRACE_SHARE, SHUTDOWN_FLUSH_TIMEOUT_MS, SHUTDOWN_MARGIN_MS, TICK_INTERVAL_MS, URGENT_REPORT_DELAY_MS
} from './constants'
import { createCallerMemory } from './createCallerMemory'
import { createCrashes } from './createCrashes'
import { createJobs } from './createJobs'
import { createRelayFeed } from './createRelayFeed'
import { createRequestHandling } from './createRequestHandling'
import { createTargetAccess } from './createTargetAccess'
import { createDispatcher } from './dispatcher'
import { followConfig } from './followConfig'
import { formatAddress } from './formatAddress'
import { startGossip, type Gossip, type Stage } from './gossip'
import { createJobCollector, createJobService, handOverJobs } from './jobs'
import { createOpenRequests } from './live'
import { createOwnReports } from './ownReports'
import type { Relay, RelayDeps } from './relay'
import type { RouteTable } from './routing'
import { RELAY_RULES } from './rules'
import type { RelaySettings } from './settings'
import {
  createCurrentVersions, createServiceVersions, createStreamService, createStreamVersions
} from './streams'
import { createStartState } from './startState'
import { createTargetDirectory } from './targets'

/** Starts an instance; fails if the address for peers is in use. */
export function createRelay (settings: RelaySettings, deps: RelayDeps): ResultAsync<Relay, Error> {
  return new ResultAsync(start(settings, deps))
}

async function start (settings: RelaySettings, deps: RelayDeps): Promise<Result<Relay, Error>> {
  const { platform, protocols, metrics, log, security } = deps
  const clock = deps.clock ?? createSystemClock()
  const random = deps.random ?? Math.random
  const { instance } = settings
  const peerAddress = formatAddress(settings.listen.peers)
  const callerAddress = settings.listen.callers === undefined ? '' : formatAddress(settings.listen.callers)
  const transports = createPeerTransports({ security })
  const shutdown = createShutdownController({
    directoryMaxAgeMs: DIRECTORY_MAX_AGE_MS * DIRECTORY_STALENESS_FACTOR,
    graceMs: settings.bounds.graceMs - SHUTDOWN_MARGIN_MS,
    onLeave: leave,
    clock,
    log
  })
  const openRequests = createOpenRequests()
  const memory = createCallerMemory({ memoryBytes: settings.process.memoryBytes, clock, metrics, log })
  const closing = new AbortController()
  const startState = createStartState(clock, MAX_START_WAIT_MS, closing.signal)
  let getRouteTable: () => RouteTable | undefined = () => undefined
  let isClosed = false
  let reportTimer: NodeJS.Timeout | undefined

  const streamVersions = createStreamVersions({ getTarget: (id) => targets.get(id), clock, log })
  const started = await startGossip({
    instance,
    incarnation: clock.wallTime(),
    listen: settings.listen.peers,
    peerAddress,
    seeds: settings.seeds,
    settings: GOSSIP_SETTINGS,
    getOwnReport: () => ownReports.getOwnReport(),
    getOwnLoad: () => ownReports.getOwnLoad(),
    getFarUses: () => loads.getFarUses(),
    onYield: (key, count) => yieldItemsByKey(key, count),
    clock,
    random,
    metrics,
    log
  })
  if (started.isErr()) return err(started.error)
  const gossip: Gossip = started.value
  const feed = createRelayFeed({
    settings,
    peerAddress,
    kinds: [protocols.config.kind, protocols.targetEntries.kind],
    platform,
    transports,
    gossip,
    clock,
    random,
    metrics,
    log
  })
  const targets = createTargetDirectory({
    feed,
    ...protocols.targetEntries,
    removalGraceMs: settings.bounds.drainMs * REMOVAL_GRACE_SHARE,
    leavingGraceMs: settings.bounds.drainMs * LEAVING_GRACE_SHARE,
    clock,
    log
  })
  const serviceVersions = createServiceVersions({
    platform,
    getRegistered: targets.getVersions,
    listTargets: targets.all,
    whenListed: feed.ready(),
    isFirstStart: settings.isFirstStart,
    clock,
    log
  })
  targets.onChange(serviceVersions.recordAll)
  targets.onProcessChange((target) => {
    if (streamVersions.resolve(target)) scheduleReport()
  })
  const access = createTargetAccess({
    instance,
    protocol: protocols.targets,
    outgoing: { localAddress: settings.targets.localAddress, connectors: deps.connectors },
    security,
    targets,
    gossip,
    onChange: scheduleReport,
    clock,
    random,
    metrics,
    log
  })
  const { tunnels, paths, limits, peerUses, loads, connectDirect, connections, exchange } = access
  const { crashes, crashingPartsStore } = createCrashes({
    self: instance.id,
    decodePromptParts: protocols.callers.decodePromptParts,
    platform,
    gossip,
    targets,
    viewProcess: access.viewProcess,
    onChange: scheduleReport,
    closed: closing.signal,
    clock,
    metrics,
    log
  })
  const { jobRegistry, store, recordFollower, runner, jobManager, jobReconciler, jobs } = createJobs({
    instance,
    bounds: settings.bounds,
    maxObjectBytes: settings.platform.maxObjectBytes,
    platform,
    transports,
    gossip,
    loads,
    crashes,
    exchange,
    paths,
    table: () => getRouteTable(),
    isClosed: () => isClosed,
    isLeaving: () => shutdown.getStage() !== 'serving',
    clock,
    random,
    metrics,
    log
  })
  const { slotScheduler, handle } = createRequestHandling({
    instance,
    protocol: protocols.callers,
    getRouteTable: () => getRouteTable(),
    whenStarted: startState.whenStarted,
    transports,
    gossip,
    access,
    streamVersions,
    serviceVersions,
    readCurrentVersions: createCurrentVersions({
      platform, entries: protocols.targetEntries, callState: access.callState, clock, log
    }),
    crashes,
    openRequests,
    runner,
    jobs,
    shutdown,
    memory: memory.budget,
    clock,
    random,
    metrics,
    log
  })
  const { dispatchAll, scheduleDispatch } = createDispatcher(slotScheduler, runner)
  const ownReports = createOwnReports({
    getStage,
    callerAddress,
    getConfigRevision: () => feed.revision(protocols.config.kind),
    jobRegistry,
    runner,
    crashes,
    limits,
    loads,
    paths,
    streamVersions,
    targets
  })
  const jobRoutes = createJobService({ jobRegistry, jobManager, jobApi: jobs })
  const streamRoutes = createStreamService({ streamVersions, clock })
  const peerServer = await createPeerServer({
    ...settings.listen.peers,
    security,
    routes: (router) => {
      feed.routes(router)
      jobRoutes(router)
      streamRoutes(router)
    },
    tunnels: {
      mayOpen: targets.hasAddress,
      isDirect: (address) => shutdown.getStage() === 'serving' && paths.isDirectUsable(address),
      connect: connectDirect,
      track: shutdown.trackRequest,
      clock,
      metrics,
      log
    }
  })
  if (peerServer.isErr()) {
    await feed.close()
    await gossip.close()
    return err(peerServer.error)
  }
  getRouteTable = followConfig({
    feed,
    object: protocols.config,
    onChange: ({ limits }) => {
      memory.ensureBodies(limits.maxBodyBytes)
      startState.recordConfig()
      gossip.reportNow()
      dispatchAll()
    },
    metrics,
    log
  })
  targets.onChange(dispatchAll)
  loads.onOwnChange(() => {
    gossip.reportLoadChange()
    scheduleDispatch()
  })
  gossip.onReport((report) => {
    for (const { job, ...ownership } of report.jobs) jobRegistry.update(job, ownership, 'peer')
    crashes.merge(report)
    limits.merge(report.limits)
    targets.mergeLeaving(report.leaving)
    streamVersions.mergeReport(report)
    scheduleDispatch()
  })
  gossip.onBegunStream((notice) => streamVersions.merge(notice, 'heard'))
  gossip.onPeerLost(({ report }) => {
    jobReconciler.recordLoss()
    jobManager.takeOverFrom(report.instance).catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'jobs of a lost peer could not be taken over'))
  })
  gossip.start()
  const periodicTimer = setInterval(runPeriodicWork, TICK_INTERVAL_MS)
  const collector = createJobCollector({
    self: instance.id, store, peers: gossip.peers, keepMs: settings.bounds.jobStatusMs, clock, log
  })
  crashingPartsStore.load(closing.signal).then(crashes.restore).catch((cause: unknown) => {
    log.error({ cause: describeCause(cause) }, 'parts that crash targets could not be restored')
  })
  serviceVersions.load(closing.signal).catch((cause: unknown) => {
    log.error({ cause: describeCause(cause) }, 'versions of services could not be loaded')
  })
  feed.ready().then(() => {
    startState.recordTargets()
    gossip.reportNow()
  }).catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'feed could not start'))
  feed.ready().then(async () => {
    jobReconciler.start(RELAY_RULES.jobs.settleMs)
    await jobManager.recover()
  }).catch((cause: unknown) => {
    log.error({ cause: describeCause(cause) }, 'jobs could not be recovered from the store')
  })

  function getStage (): Stage {
    if (shutdown.getStage() !== 'serving') return 'leaving'
    return startState.isStarted() ? 'serving' : 'starting'
  }

  function yieldItemsByKey (key: number, count: number): void {
    const load = loads.getLoadByKey(key)
    if (load !== undefined) runner.yieldItems(load.target.id, count)
  }

  /** Reports soon, but not once for each of several changes. */
  function scheduleReport (): void {
    reportTimer ??= setTimeout(() => {
      reportTimer = undefined
      gossip.reportNow()
    }, URGENT_REPORT_DELAY_MS)
  }

  function runPeriodicWork (): void {
    const domains = new Set(gossip.peers().map(({ report }) => report.failureDomain))
    peerUses.retainDigests((failureDomain) => domains.has(failureDomain) && !gossip.isClose(failureDomain))
    recordFollower.tick()
    dispatchAll()
    jobManager.tick()
    jobReconciler.tick()
  }

  function applySettings (next: RelaySettings): string[] {
    next.seeds.forEach(gossip.addCandidate)
    log.level(next.log.level)
    const restartSettings = ['instance', 'listen', 'platform', 'targets', 'bounds', 'process'] as const
    return restartSettings.filter((name) => JSON.stringify(next[name]) !== JSON.stringify(settings[name]))
  }

  async function leave (): Promise<void> {
    gossip.reportNow()
    await runner.stopAll()
    await jobManager.flushAll(SHUTDOWN_FLUSH_TIMEOUT_MS)
    await handOverJobs({ jobRegistry, peers: gossip.peers, transports, log })
  }

  async function close (): Promise<void> {
    isClosed = true
    closing.abort()
    clearInterval(periodicTimer)
    clearTimeout(reportTimer)
    jobManager.close()
    collector.close()
    await feed.close()
    await gossip.close()
    transports.close()
    paths.close()
    connections.close()
    tunnels.close()
    await peerServer._unsafeUnwrap().close()
  }

  return ok({
    handle,
    directory: createDirectory({
      self: { callerAddress, failureDomain: instance.failureDomain, stage: getStage, isCutOff: paths.isCutOff },
      peers: gossip.peers,
      maxAgeMs: settings.bounds.directoryMaxAgeMs
    }),
    jobs,
    memory: memory.budget,
    trackRequest: shutdown.trackRequest,
    isReady: () => getStage() === 'serving',
    table: () => getRouteTable(),
    applySettings,
    stop: async () => {
      await shutdown.stop()
      openRequests.endAll()
      // The refusals have to be written before the connections of callers are closed.
      await new Promise((resolve) => setImmediate(resolve))
      await close()
    },
    close
  })
}
