/** Creates a relay instance from its components. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import {
  createPeerServer, createPeerTransports, createPeerTunnels, createSystemClock, describeCause, rankByRendezvous,
  type Clock, type createConnector, type Log, type Metrics, type PeerSecurity, type PlatformClient, type Random
} from '../shared'
import { createShutdownController } from '../entry/stopping'
import { createDirectory, createRelayHandler, type CallerProtocol, type Directory, type RelayHandler } from './callers'
import {
  CRASH_RETENTION_MS, DIRECTORY_MAX_AGE_MS, DIRECTORY_STALENESS_FACTOR, GOSSIP_SETTINGS, JOB_NOTICE_MS,
  LEAVING_GRACE_SHARE, MAX_READ_AGE_MS, MAX_START_WAIT_MS, PREFERRING_INSTANCES, RECORD_AGE_SHARE,
  REMOVAL_GRACE_SHARE, TARGET_CONNECT_TIMEOUT_MS, TARGET_IDLE_TIMEOUT_MS, TICK_INTERVAL_MS, URGENT_REPORT_DELAY_MS
} from './constants'
import { createPaths } from './createPaths'
import { createRelayFeed } from './createRelayFeed'
import { createDirectConnector, createExchange, createTargetConnectionPool, createTargetConnector } from './exchange'
import { followConfig } from './followConfig'
import { startGossip, type Gossip, type OwnLoad, type OwnReport, type Stage } from './gossip'
import {
  createItemRunner, createJobRegistry, createJobApi, createJobCollector, createJobManager, createJobService,
  createJobStore, createQuota, createRecordFollower, createRecordView, handOverJobs, getOpenTokens,
  type JobApi
} from './jobs'
import {
  createCrashingPartsStore, createCrashTracker, createOpenRequests, createSlotScheduler, createSilenceDetector
} from './live'
import { createLoadView, createPeerUses, createTargetLimits, createTargetPreference } from './load'
import type { RelayConfig, Target, TargetProtocol } from './model'
import type { RouteTable } from './routing'
import { RELAY_RULES } from './rules'
import type { RelaySettings } from './settings'
import { createServiceVersions, createStreamService, createStreamVersionFinder, createStreamVersions } from './streams'
import { createStartState } from './startState'
import { createTargetDirectory } from './targets'

/** Codecs for the formats that a deployment's platform, callers and targets use. */
export interface RelayProtocols {
  callers: CallerProtocol
  targets: TargetProtocol
  /** Object that holds the configuration. */
  config: { kind: string, name: string, decode: (value: unknown) => Result<RelayConfig, Error> }
  /** Objects in which targets are registered. */
  targetEntries: { kind: string, decode: (id: string, value: unknown) => Target | undefined }
}

export interface RelayDeps {
  platform: PlatformClient
  protocols: RelayProtocols
  security: PeerSecurity
  metrics: Metrics
  log: Log
  clock?: Clock
  random?: Random
  /** Creates the function that establishes connections to targets; replaced by tests that cut an instance off. */
  connectors?: typeof createConnector
}

export interface Relay {
  handle: RelayHandler
  directory: Directory
  jobs: JobApi
  /** Counts a call of a caller as in flight, so that a shutdown waits for it; returns the function that ends it. */
  trackRequest: () => () => void
  /** True while this instance accepts requests of callers. */
  isReady: () => boolean
  table: () => RouteTable | undefined
  /** Applies changed settings; returns the names of those that require a restart. */
  applySettings: (settings: RelaySettings) => string[]
  /** Shuts down gracefully: leaves the directory, hands jobs over, waits for running requests, then closes. */
  stop: () => Promise<void>
  /** Closes at once, without handing jobs over. */
  close: () => Promise<void>
}

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
    getOwnReport,
    getOwnLoad,
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
  const peerUses = createPeerUses(gossip.peers(), clock)
  gossip.onReport((report, before) => peerUses.replaceReport(before, report))
  gossip.onDigest(peerUses.replaceDigest)
  gossip.onPeerLost(({ report }) => peerUses.replaceReport(report, undefined))
  const tunnels = createPeerTunnels({ self: instance.id, security, metrics, log })
  const outgoing = { localAddress: settings.targets.localAddress, connectors: deps.connectors }
  const paths = createPaths({
    outgoing,
    statePath: protocols.targets.state.path,
    tunnels,
    failureDomain: instance.failureDomain,
    targets,
    gossip,
    peerUses,
    onChange: scheduleReport,
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
    onChange: scheduleReport,
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
    protocol: protocols.targets,
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
  const crashingPartsStore = createCrashingPartsStore({ platform, keepMs: CRASH_RETENTION_MS, clock, log })
  const crashes = createCrashTracker({
    keepMs: CRASH_RETENTION_MS,
    decodePromptParts: protocols.callers.decodePromptParts,
    isProber: (key) => rankByRendezvous(key, listServingInstances(), (id) => id)[0] === instance.id,
    onChange: scheduleReport,
    onFound: (found) => {
      crashingPartsStore.save(found).catch((cause: unknown) => log.error({ cause: describeCause(cause) }, 'parts that crash targets could not be stored'))
    },
    clock,
    log
  })
  const jobRegistry = createJobRegistry({
    self: instance.id, noticeMs: JOB_NOTICE_MS, onNotice: () => gossip.reportNow(), clock, log
  })
  const store = createJobStore(platform, clock)
  const recordFollower = createRecordFollower({
    self: instance.id,
    jobRegistry,
    store,
    rules: { maxAgeMs: settings.bounds.jobEndMs * RECORD_AGE_SHARE, maxReadAgeMs: MAX_READ_AGE_MS },
    clock,
    metrics,
    log
  })
  const runner = createItemRunner({
    self: instance.id,
    jobRegistry,
    loads,
    crashes,
    exchange,
    paths,
    table: () => getRouteTable(),
    peers: gossip.peers,
    failureDomain: instance.failureDomain,
    rules: RELAY_RULES.items,
    mayStart: recordFollower.mayStart,
    isPaused: () => isClosed || shutdown.getStage() !== 'serving',
    onFinished: (job) => jobManager.scheduleStore(job),
    clock,
    random,
    metrics,
    log
  })
  const jobManager = createJobManager({
    self: instance.id,
    jobRegistry,
    store,
    table: () => getRouteTable(),
    peers: gossip.peers,
    isLeaving: () => shutdown.getStage() !== 'serving',
    onItemsReady: () => runner.dispatch(),
    onStop: (job) => runner.stopJob(job),
    rules: { ...RELAY_RULES.jobs, keepMs: settings.bounds.jobStatusMs },
    clock,
    random,
    metrics,
    log
  })
  const jobs = createJobApi({
    self: instance.id,
    jobRegistry,
    jobManager,
    store,
    transports,
    peers: gossip.peers,
    recordFollower,
    quota: createQuota({
      jobRegistry, recordView: createRecordView({ store, clock, metrics }), peers: gossip.peers, log
    }),
    onAccepted: () => runner.dispatch(),
    isLeaving: () => shutdown.getStage() !== 'serving',
    clock,
    random,
    metrics,
    log
  })
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
    protocol: protocols.callers,
    getRouteTable: () => getRouteTable(),
    whenStarted: startState.whenStarted,
    live: {
      slotScheduler,
      exchange,
      loads,
      paths,
      silenceDetector: createSilenceDetector(clock),
      streamVersions,
      streamVersionFinder: createStreamVersionFinder({
        streamVersions,
        peers: gossip.peers,
        transports,
        whenVersionsLoaded: serviceVersions.whenLoaded,
        getVersionHistory: (service) => ({
          ...serviceVersions.getHistory(service),
          hasOutdatedEntries: loads.getLoads(service).some(({ isOutdated }) => isOutdated)
        }),
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
    trackRequest: shutdown.trackRequest,
    random,
    log
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
    onChange: () => {
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
    streamVersions.merge(report.streams, 'heard')
    scheduleDispatch()
  })
  gossip.onPeerLost(({ report }) => {
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
  feed.ready().then(async () => await jobManager.recover()).catch((cause: unknown) => {
    log.error({ cause: describeCause(cause) }, 'jobs could not be recovered from the store')
  })

  function getStage (): Stage {
    if (shutdown.getStage() !== 'serving') return 'leaving'
    return startState.isStarted() ? 'serving' : 'starting'
  }

  function getOwnReport (): OwnReport {
    return {
      stage: getStage(),
      callerAddress,
      jobs: jobRegistry.getNotices(),
      ...crashes.getReport(),
      limits: limits.getNotices(),
      streams: streamVersions.getNotices(),
      leaving: targets.getLeavingNotices(),
      configRevision: Math.max(0, feed.revision(protocols.config.kind)),
      openJobs: getOpenTokens(jobRegistry)
    }
  }

  function getOwnLoad (): OwnLoad {
    const suspects = loads.getOwnSuspects()
    return {
      uses: loads.getOwnUses(),
      waiting: runner.getWaiting(),
      suspects: suspects.all,
      unreached: suspects.unreached,
      isCutOff: paths.isCutOff(),
      streams: streamVersions.getLatestNotices()
    }
  }

  /** A process that was asked may be another one than that of the entry, which then is out of date. */
  function recordLeaving (id: string, listed: number | undefined, found: number | undefined): void {
    const isNew = [...new Set([listed, found ?? listed])].map((startedAt) => targets.recordLeaving(id, startedAt))
    if (isNew.includes(true)) scheduleReport()
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

  function listServingInstances (): string[] {
    const serving = gossip.peers().filter(({ report }) => report.stage === 'serving')
    return [instance.id, ...serving.map(({ report }) => report.instance)]
  }

  let isDispatchScheduled = false
  function scheduleDispatch (): void {
    if (isDispatchScheduled) return
    isDispatchScheduled = true
    setImmediate(() => {
      isDispatchScheduled = false
      dispatchAll()
    })
  }

  function dispatchAll (): void {
    slotScheduler.dispatch()
    runner.yieldExcess()
    runner.dispatch()
  }

  function runPeriodicWork (): void {
    const domains = new Set(gossip.peers().map(({ report }) => report.failureDomain))
    peerUses.retainDigests((failureDomain) => domains.has(failureDomain) && !gossip.isClose(failureDomain))
    recordFollower.tick()
    dispatchAll()
    jobManager.tick()
  }

  function applySettings (next: RelaySettings): string[] {
    next.seeds.forEach(gossip.addCandidate)
    log.level(next.log.level)
    const restartSettings = ['instance', 'listen', 'platform', 'targets', 'bounds'] as const
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

/** Part of the grace period reserved for closing connections before the platform kills the process, in milliseconds. */
const SHUTDOWN_MARGIN_MS = 800
/** Timeout for storing pending results at shutdown, in milliseconds. */
const SHUTDOWN_FLUSH_TIMEOUT_MS = 1000

function formatAddress ({ host, port }: { host: string, port: number }): string {
  return `${host}:${port}`
}
