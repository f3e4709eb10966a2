/** Runs items of the jobs of this instance in slots that live requests leave free. */
import type { Clock, Log, Metrics, Random } from '../../shared'
import { chooseRelief, chooseStarts, chooseYields, rankItem, type RunningItem, type WaitingItem } from '../decisions'
import type { Exchange } from '../exchange'
import type { PeerView, WaitingItems } from '../gossip'
import type { LoadView } from '../load'
import type { Route, Target } from '../model'
import { pickService, type RouteTable } from '../routing'
import { createItemPace } from './itemPace'
import type { JobBoard } from './jobBoard'
import type { ItemProgress, OwnedJob } from './ownedJob'
import { runItem, type ItemEnd } from './runItem'

export interface ItemRunnerRules {
  /** Slots of each service that batch leaves free, as a share of all. */
  liveReserveShare: number
  /** Pause before an item that a target refused is sent again, in milliseconds. */
  refusedPauseMs: number
  /** Pause before an item that failed runs again, in milliseconds. */
  failedPauseMs: number
  /** Silence after which a run is taken for lost, in milliseconds. */
  silenceMs: number
}

export interface ItemRunnerOptions {
  /** This instance. */
  self: string
  board: JobBoard
  loads: LoadView
  exchange: Exchange
  table: () => RouteTable | undefined
  peers: () => readonly PeerView[]
  failureDomain: string
  rules: ItemRunnerRules
  /** True while no new run may start. */
  isPaused: () => boolean
  /** Called after an item got its result. */
  onFinished: (job: OwnedJob) => void
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

export interface ItemRunner {
  /** Starts what may start now. */
  pump: () => void
  /** Takes items off targets that have more requests than slots. */
  relieve: () => void
  /** Takes items off a target. */
  yieldItems: (targetId: string, count: number) => void
  /** Ends the runs of a job. */
  stopJob: (job: OwnedJob) => void
  /** Ends all runs; resolves when they are over. */
  stopAll: () => Promise<void>
  /** What waits, for peers. */
  waiting: () => WaitingItems[]
}

interface Ready extends WaitingItem {
  owned: OwnedJob
  itemId: string
  progress: ItemProgress
  service: string
  route: Route
}

interface Running extends RunningItem {
  stop: AbortController
  done: Promise<void>
  ready: Ready
}

/** Due times are told to peers in steps of this size, in milliseconds, so that a report stays small. */
const DUE_STEP_MS = 1000
/** Most due times in one report. */
const MAX_DUE_STEPS = 12

/** True for an end that is the target's fault rather than the item's or this side's. */
function speaksAgainst (end: ItemEnd): boolean {
  return end.type === 'refused' || (end.type === 'interrupted' && end.isBroken)
}

/** Creates the runner of an instance. */
export function createItemRunner (options: ItemRunnerOptions): ItemRunner {
  const { board, loads, rules, clock, random, metrics, log } = options
  const running = new Set<Running>()
  const pace = createItemPace()

  function rankOf (owned: OwnedJob, progress: ItemProgress): number {
    return rankItem(owned.dueAt, pace.leftMs(progress.lastEventId ?? 0), clock.now())
  }

  function readyItems (table: RouteTable): Ready[] {
    const now = clock.now()
    const ready: Ready[] = []
    for (const owned of board.owned()) {
      if (owned.isEnded()) continue
      for (const [itemId, progress] of owned.open()) {
        if (progress.target !== undefined || progress.notBefore > now) continue
        const route = table.find(owned.record().host, owned.item(itemId)?.path ?? '')
        const service = route === undefined ? undefined : pickService(route, random())
        if (route === undefined || service === undefined) continue
        ready.push({ job: owned.id, dueAt: rankOf(owned, progress), owned, itemId, progress, service, route })
      }
    }
    return ready
  }

  function pump (): void {
    const table = options.table()
    if (table === undefined || options.isPaused()) return
    const ready = readyItems(table)
    if (ready.length === 0) return
    const others = options.peers().flatMap(({ report }) => report.waiting)
    for (const service of new Set(ready.map((item) => item.service))) {
      startItems(service, ready.filter((item) => item.service === service), others)
    }
  }

  function startItems (service: string, own: Ready[], others: readonly WaitingItems[]): void {
    const all = loads.loads(service)
    const slots = all.reduce((sum, { target }) => sum + target.slots, 0)
    const starts = chooseStarts({
      targets: all.map(({ target, live, batch, isSuspect, isFresh }) => ({
        id: target.id,
        slots: target.slots,
        live,
        batch,
        isNear: target.failureDomain === options.failureDomain,
        isSuspect,
        isFresh
      })),
      own,
      others,
      liveReserve: Math.round(slots * rules.liveReserveShare)
    })
    const targets = new Map(all.map(({ target }) => [target.id, target]))
    for (const { item, target } of starts) start(item, targets.get(target)!)
  }

  function start (ready: Ready, target: Target): void {
    const { owned, itemId, progress } = ready
    const item = owned.item(itemId)!
    const stop = new AbortController()
    progress.target = target.id
    progress.interrupt = () => stop.abort()
    loads.begin(target.id, 'batch')
    log.info({
      job: owned.id,
      item: itemId,
      target: target.id,
      lastEvent: progress.lastEventId,
      dueInMs: Math.round(owned.dueAt - clock.now())
    }, 'item started')
    const entry: Running = {
      job: owned.id, dueAt: ready.dueAt, target: target.id, hasStarted: false, stop, done: Promise.resolve(), ready
    }
    running.add(entry)
    const firstEvent = progress.lastEventId ?? 0
    let startedAt: number | undefined
    entry.done = runItem({
      item,
      host: owned.record().host,
      progress,
      target,
      leftMs: owned.giveUpAt - clock.now(),
      silenceMs: rules.silenceMs,
      exchange: options.exchange,
      clock,
      log,
      onStarted: () => {
        entry.hasStarted = true
        startedAt = clock.now()
      },
      signal: stop.signal
    }).then((end) => {
      running.delete(entry)
      if (startedAt !== undefined) pace.noteRun((progress.lastEventId ?? 0) - firstEvent, clock.now() - startedAt)
      if (end.type === 'completed') pace.noteFinished(progress.lastEventId ?? 0)
      if (speaksAgainst(end)) loads.noteFailure(target.id, `item.${end.type}`)
      progress.target = undefined
      progress.interrupt = undefined
      loads.end(target.id, 'batch')
      settle(ready, target, end)
    })
  }

  function settle ({ owned, itemId, progress, route }: Ready, target: Target, end: ItemEnd): void {
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
        else progress.notBefore = now + rules.failedPauseMs
      },
      refused: () => { progress.notBefore = now + rules.refusedPauseMs * (0.5 + random()) },
      interrupted: ({ isBroken }) => { if (isBroken) progress.notBefore = now + rules.refusedPauseMs * random() }
    }
    handlers[end.type](end as never)
    pump()
  }

  function finish (owned: OwnedJob, itemId: string, completed: boolean, text: string): void {
    owned.finish({ item: itemId, completed, text })
    options.onFinished(owned)
  }

  function yieldItems (targetId: string, count: number): void {
    const there = [...running].filter((entry) => entry.target === targetId && !entry.stop.signal.aborted)
    for (const entry of there) entry.dueAt = rankOf(entry.ready.owned, entry.ready.progress)
    for (const entry of chooseYields(there, count)) {
      metrics.count('items.yielded')
      entry.stop.abort()
    }
  }

  function relieve (): void {
    for (const targetId of new Set([...running].map(({ target }) => target))) {
      const load = loads.loadOf(targetId)
      if (load === undefined || load.live + load.batch <= load.target.slots) continue
      const count = chooseRelief({
        self: options.self,
        slots: load.target.slots,
        live: load.live,
        batch: load.batch,
        holders: [
          { id: options.self, batch: load.ownBatch },
          ...options.peers().map(({ report }) => ({
            id: report.instance, batch: report.uses.get(load.key)?.batch ?? 0
          }))
        ]
      })
      if (count > 0) yieldItems(targetId, count)
    }
  }

  return {
    pump,
    relieve,
    yieldItems,
    stopJob: (job) => { for (const entry of running) if (entry.job === job.id) entry.stop.abort() },
    stopAll: async () => {
      const all = [...running]
      all.forEach(({ stop }) => stop.abort())
      await Promise.all(all.map(async ({ done }) => await done))
    },
    waiting: () => {
      const table = options.table()
      if (table === undefined) return []
      const steps = new Map<number, number>()
      for (const { dueAt } of readyItems(table)) {
        const step = Math.ceil(dueAt / DUE_STEP_MS)
        steps.set(step, (steps.get(step) ?? 0) + 1)
      }
      return [...steps].sort(([a], [b]) => a - b).slice(0, MAX_DUE_STEPS)
        .map(([step, count]) => ({ dueAt: step * DUE_STEP_MS, count }))
    }
  }
}
