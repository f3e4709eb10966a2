/** Runs items of owned jobs in slots that live requests leave free. */
import { hash32, type Clock, type Log, type Metrics, type Random } from '../../shared'
import { chooseStarts, listRivals, type BatchCandidate, type ItemVersionRules } from '../decisions'
import type { Exchange } from '../exchange'
import type { PeerView, WaitingItems } from '../gossip'
import type { CrashTracker } from '../live'
import type { LoadView, TargetLoad } from '../load'
import type { Target } from '../model'
import type { InstancePaths } from '../paths'
import type { RouteTable } from '../routing'
import type { ActiveRun } from './activeRun'
import { dropBlockedText } from './blockedText'
import { createItemTimeEstimator } from './itemTimeEstimator'
import { createItemYielder } from './itemYielder'
import type { JobInputs } from './jobInputs'
import type { JobRegistry } from './jobRegistry'
import type { OwnedJob } from './ownedJob'
import { createReadyItemFinder, findNeededVersion, summarizeReadyItems, type ReadyItem } from './readyItems'
import { createRunEvidence } from './runEvidence'
import { runItem, SILENT_TARGET, type ItemEnd } from './runItem'
import { createUnidentifiedTargets } from './unidentifiedTargets'

export interface ItemRunnerRules extends ItemVersionRules {
  /** Share of each service's slots that batch items leave free for live requests. */
  liveReserveShare: number
  /** Mean backoff before a refused item is retried, in milliseconds. */
  refusedBackoffMs: number
  /** Backoff before a failed item is retried, in milliseconds. */
  failedBackoffMs: number
  /** Time without an event after which a run moves to another target that has room, in milliseconds. */
  silenceTimeoutMs: number
  /** Time without an event after which a run is aborted in any case, in milliseconds. */
  maxSilenceMs: number
}

export interface ItemRunnerOptions {
  /** Id of this instance. */
  self: string
  jobRegistry: JobRegistry
  inputs: Pick<JobInputs, 'readBody'>
  loads: LoadView
  crashes: Pick<CrashTracker, 'recordPossibleCrash' | 'recordAnswer' | 'hasCrashingParts'>
  exchange: Exchange
  paths: Pick<InstancePaths, 'isCutOff' | 'isAnswering' | 'isDirectUsable' | 'onLost' | 'recordSilent'>
  table: () => RouteTable | undefined
  peers: () => readonly PeerView[]
  failureDomain: string
  rules: ItemRunnerRules
  /** True while items of the job may start. */
  mayStart: (job: OwnedJob) => boolean
  /** True while runs of the job may go on that their targets haven't begun to answer. */
  mayAwaitAnswers: (job: OwnedJob) => boolean
  /** True while no new run may start. */
  isPaused: () => boolean
  /** Called after an item has got its result. */
  onFinished: (job: OwnedJob) => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface ItemRunner {
  /** Starts as many ready items as the free slots allow. */
  dispatch: () => void
  /** Interrupts items on targets that have more requests than slots. */
  yieldExcess: () => void
  /** Interrupts up to `count` items on a target to free their slots. */
  yieldItems: (targetId: string, count: number) => void
  /** Aborts the runs of a job. */
  stopJob: (job: OwnedJob) => void
  /** Aborts all runs; resolves when they have ended. */
  stopAll: () => Promise<void>
  /** Returns the items ready to run, for gossip reports. */
  getWaiting: () => WaitingItems[]
}

/** A waiting item, or one whose run at a silent target may move. */
interface StartableItem extends ReadyItem {
  run?: ActiveRun
}

/** Crashes after which an item is tried again as soon as after other broken runs. */
const QUICK_CRASHES = 4
/** With more crashes the backoff is doubled up to this many times. */
const MAX_BACKOFF_DOUBLINGS = 5

/** Creates the item runner of an instance. */
export function createItemRunner (options: ItemRunnerOptions): ItemRunner {
  const { loads, rules, clock, random, metrics, log } = options
  const running = new Set<ActiveRun>()
  const pace = createItemTimeEstimator()
  const finder = createReadyItemFinder({ ...options, pace })
  const evidence = createRunEvidence(options)
  const unidentified = createUnidentifiedTargets({ ...options, running })
  const { yieldItems, yieldExcessItems } = createItemYielder({ ...options, running, computeRank: finder.computeRank })
  // Nothing more comes over connections that hang: their items need not wait until that shows.
  options.paths.onLost(() => {
    for (const run of running) run.isSilent ||= !options.paths.isDirectUsable(run.address)
    startReadyItems()
  })

  /** What hangs on a connection is reset with it, before it could reach its target too late. */
  function stopOutdatedRuns (): void {
    for (const { ready: { owned, itemId }, target, hasStarted, stop } of running) {
      if (hasStarted || stop.signal.aborted || options.mayAwaitAnswers(owned)) continue
      log.info({ job: owned.id, item: itemId, target }, 'unanswered item given up: the stored record is out of date')
      stop.abort()
    }
  }

  function startReadyItems (): void {
    const table = options.table()
    if (table === undefined || options.isPaused()) return
    const ready: StartableItem[] = [...finder.find(table), ...findSilentItems(table)]
    if (ready.length === 0) return
    const others = options.peers().flatMap(({ report }) => report.waiting)
    for (const service of new Set(ready.map((item) => item.service))) {
      const rivals = listRivals(others, hash32(service), hasOnlyService(table))
      startItems(service, ready.filter((item) => item.service === service), rivals)
    }
  }

  /** Lists the items whose run moves once another target of a service that the route still names has room. */
  function findSilentItems (table: RouteTable): StartableItem[] {
    const silent = [...running].filter(({ isSilent, stop }) => isSilent && !stop.signal.aborted)
    const silentTargets = silent.map(({ target }) => target)
    return silent.flatMap((run) => {
      const { owned, itemId, progress, service } = run.ready
      if (!options.mayStart(owned)) return []
      const route = table.findRoute(owned.record().host, owned.findItem(itemId)?.path ?? '')
      if (route?.services.some((one) => one.service === service && one.weight > 0) !== true) return []
      const dueAt = finder.computeRank(owned, progress)
      // A run that may go on is not given up for a probe.
      const probed = loads.getLoads(service)
        .filter(({ target }) => unidentified.countProbes(target) !== undefined)
        .map(({ target }) => target.id)
      const excluded = new Set([...silentTargets, ...probed])
      return [{ ...run.ready, route, dueAt, version: findNeededVersion(progress), excluded, run }]
    })
  }

  function startItems (service: string, own: StartableItem[], others: readonly WaitingItems[]): void {
    // The version that an outdated target would write is not known; one that leaves ends before most items do.
    const all = loads.getLoads(service).filter(({ isOutdated, isLeaving }) => !isOutdated && !isLeaving)
    const silent = new Set([...running].filter(({ isSilent }) => isSilent).map(({ target }) => target))
    const candidates = all.map((load) => toCandidate(load, silent))
    const slots = all.reduce((sum, { target }) => sum + target.slots, 0)
    const liveReserve = Math.round(slots * rules.liveReserveShare)
    for (const item of own) {
      const countTargets = (name: string): number => loads.getLoads(name).filter(({ isLeaving }) => !isLeaving).length
      const blockedText = { ...options, candidates, countTargets, liveReserve, pace }
      if (item.run !== undefined || !dropBlockedText(item, blockedText)) continue
      item.version = undefined
      item.dueAt = finder.computeRank(item.owned, item.progress)
    }
    const versions = new Map(candidates.map(({ version }) => [hash32(version), version]))
    const starts = chooseStarts({
      targets: candidates,
      own,
      // Items that need a version which is not here can't start here either.
      others: others.filter(({ version }) => version === undefined || versions.has(version))
        .map(({ dueAt, count, version }) => ({ dueAt, count, version: versions.get(version ?? 0) })),
      liveReserve
    })
    const targets = new Map(all.map(({ target }) => [target.id, target]))
    for (const { item, target } of starts) {
      if (item.run === undefined) {
        loads.begin(target, 'batch')
        start(item, targets.get(target)!)
      } else {
        moveRun(item.run, targets.get(target)!)
      }
    }
  }

  function toCandidate (
    { target, live, batch, isSuspect, isFresh, allowance }: TargetLoad,
    silent: ReadonlySet<string>
  ): BatchCandidate {
    return {
      id: target.id,
      version: target.version,
      slots: target.slots,
      live,
      batch,
      isNear: target.failureDomain === options.failureDomain,
      isSuspect,
      isFresh,
      isSilent: silent.has(target.id),
      probes: unidentified.countProbes(target),
      allowance
    }
  }

  /** Gives up a run at a silent target; the item goes on in a slot that is held for it. */
  function moveRun (run: ActiveRun, next: Target): void {
    const { owned, itemId, progress } = run.ready
    log.info({
      job: owned.id, item: itemId, from: run.target, to: next.id, lastEvent: progress.lastEventId
    }, 'item moves from a silent target')
    metrics.count('items.moved')
    loads.begin(next.id, 'batch')
    run.next = next
    progress.silences += 1
    run.stop.abort(SILENT_TARGET)
  }

  /** Starts an item in a slot that was counted already. */
  function start (ready: ReadyItem, target: Target): void {
    const { owned, itemId, progress } = ready
    const item = owned.findItem(itemId)!
    const stop = new AbortController()
    progress.target = target.id
    progress.blockedSince = undefined
    progress.version = target.version
    progress.service = target.service
    progress.interrupt = () => stop.abort()
    log.info({
      job: owned.id,
      item: itemId,
      target: target.id,
      version: target.version,
      isProbe: unidentified.countProbes(target) !== undefined,
      lastEvent: progress.lastEventId,
      epoch: owned.record().epoch,
      recordAgeMs: Math.round(clock.now() - owned.confirmedAt()),
      dueInMs: Math.round(owned.dueAt - clock.now())
    }, 'item started')
    const entry: ActiveRun = {
      job: owned.id,
      dueAt: ready.dueAt,
      target: target.id,
      address: target.address,
      startedAt: target.startedAt,
      sentAt: clock.now(),
      hasStarted: false,
      stop,
      done: Promise.resolve(),
      ready,
      isSilent: false
    }
    running.add(entry)
    const firstEvent = progress.lastEventId ?? 0
    let startedAt: number | undefined
    entry.done = runItem({
      item,
      readBody: async () => (entry.body = await options.inputs.readBody(owned.id, itemId)),
      host: owned.record().host,
      progress,
      target,
      remainingMs: owned.expiresAt - clock.now(),
      refusedBackoffMs: rules.refusedBackoffMs,
      // A target that takes long before its first event would be left again and again for others that take as long.
      silenceTimeoutMs: rules.silenceTimeoutMs * 2 ** progress.silences,
      maxSilenceMs: rules.maxSilenceMs,
      exchange: options.exchange,
      clock,
      log,
      mayStillSend: () => options.mayStart(owned) && !options.crashes.hasCrashingParts(item.headers),
      onStarted: () => {
        entry.hasStarted = true
        startedAt = clock.now()
        unidentified.recordAnswer(entry)
      },
      onSilent: () => {
        entry.isSilent = true
        const isCertain = entry.hasStarted && !options.paths.isAnswering(target.address)
        if (isCertain) options.paths.recordSilent(target.address)
        log.info({
          job: owned.id, item: itemId, target: target.id, lastEvent: progress.lastEventId
        }, 'item run is silent')
        startReadyItems()
      },
      onResumed: () => { entry.isSilent = false },
      signal: stop.signal
    }).then((end) => {
      running.delete(entry)
      if (startedAt !== undefined) pace.recordRun((progress.lastEventId ?? 0) - firstEvent, clock.now() - startedAt)
      if (end.type === 'completed') pace.recordCompletion(progress.lastEventId ?? 0)
      if (end.type === 'refused' && end.reason === 'unknownProcess') unidentified.recordRefusal(entry)
      evidence.recordEnd(entry, end, (progress.lastEventId ?? 0) - firstEvent)
      progress.target = undefined
      progress.interrupt = undefined
      loads.end(target.id, 'batch')
      if ((progress.lastEventId ?? 0) > firstEvent) progress.silences = 0
      handleEnd(entry, target, end)
    })
  }

  function handleEnd ({ ready, next }: ActiveRun, target: Target, end: ItemEnd): void {
    const { owned, itemId, progress, route } = ready
    metrics.count(`items.${end.type}`)
    log.info({
      job: owned.id, item: itemId, target: target.id, end: end.type, lastEvent: progress.lastEventId
    }, 'item run ended')
    const now = clock.now()
    const handlers: { [Type in ItemEnd['type']]: (end: Extract<ItemEnd, { type: Type }>) => void } = {
      completed: ({ text }) => finish(owned, itemId, true, text),
      impossible: () => finish(owned, itemId, false, ''),
      failed: () => {
        progress.failures += 1
        if (progress.failures >= route.maxAttempts) finish(owned, itemId, false, '')
        else progress.notBefore = now + rules.failedBackoffMs
      },
      refused: ({ backoffMs = rules.refusedBackoffMs }) => { progress.notBefore = now + backoffMs * (0.5 + random()) },
      interrupted: ({ isBroken }) => {
        // An item on which one target after the other crashes is tried ever more rarely.
        const factor = 2 ** Math.min(Math.max(0, progress.crashes - QUICK_CRASHES), MAX_BACKOFF_DOUBLINGS)
        if (isBroken) progress.notBefore = now + rules.refusedBackoffMs * factor * random()
      }
    }
    handlers[end.type](end as never)
    if (next !== undefined) {
      const version = findNeededVersion(progress) ?? next.version
      const mayGoOn = version === next.version && owned.openItems().has(itemId) &&
        options.mayStart(owned) && !options.isPaused()
      if (end.type === 'interrupted' && mayGoOn) start(ready, next)
      else loads.end(next.id, 'batch')
    }
    startReadyItems()
  }

  function finish (owned: OwnedJob, itemId: string, completed: boolean, text: string): void {
    owned.finishItem({ item: itemId, completed, text })
    options.onFinished(owned)
  }

  return {
    dispatch: () => {
      stopOutdatedRuns()
      startReadyItems()
    },
    yieldExcess: yieldExcessItems,
    yieldItems,
    stopJob: (job) => { for (const entry of running) if (entry.job === job.id) entry.stop.abort() },
    stopAll: async () => {
      const all = [...running]
      all.forEach(({ stop }) => stop.abort())
      await Promise.all(all.map(async ({ done }) => await done))
    },
    getWaiting: () => {
      const table = options.table()
      // What doesn't start here must not hold up items of other instances.
      if (table === undefined || options.isPaused()) return []
      return summarizeReadyItems(finder.find(table), hasOnlyService(table))
    }
  }
}

function hasOnlyService ({ batchServices }: RouteTable): boolean {
  return batchServices.size <= 1
}
