/**
 * Replays a load pattern through the decisions in virtual time. Arrivals and run times come from a seed, each instance
 * decides on a view of the others that is a little old, and targets admit in order of arrival.
 */
import {
  chooseRelief, chooseStarts, chooseYields, choosePlacement, decideAdmission, orderWaiting, rankItem,
  type PlacementCandidate
} from '..'
import { rankByRendezvous, type Random } from '../../../shared'
import { RELAY_RULES } from '../../rules'
import { boundsOf, type Bounds } from './bounds'
import { createSeededRandom } from './seededRandom'
import { createUseLog, type ReplayTarget, type Work } from './targets'

export interface Pattern {
  instances: number
  targets: number
  slots: number
  lengthMs: number
  /** Live arrivals a second over all instances at a time. */
  livePerS: (ms: number) => number
  liveRunMs: number
  /** Batch items that arrive together. */
  jobs: ReadonlyArray<{ atMs: number, items: number }>
  batchRunMs: number
  /** How old the view of other instances is, in milliseconds. */
  viewAgeMs?: number
  /** Instances that try each target first; none when absent. */
  preferring?: number
  /** Targets that are there at a time; all of them when absent. */
  targetsAt?: (ms: number) => number
}

export interface Outcome {
  live: number
  /** Share of live requests that got a slot soon enough to be on time. */
  inTime: number
  late: number
  /** Requests that were refused when they came back. */
  refused: number
  /** Requests that were refused once. */
  sentAway: number
  slowestRefusalMs: number
  items: number
  /** Share of batch items that were done when due. */
  itemsInTime: number
  /** Batch runs that were broken off. */
  interrupted: number
  /** Share of slot time that was used. */
  use: number
  /** What an order that knows everything could reach; see `boundsOf`. */
  bounds: Bounds
  /** Most requests that a target had beyond its slots. */
  mostQueued: number
}

interface Live {
  /** Arrival of this attempt. */
  at: number
  isReturning: boolean
  instance: number
}

interface Item {
  job: string
  dueAt: number
  leftMs: number
  instance: number
  work?: Work
}

interface Waiting {
  live: Live
  ask: Parameters<typeof orderWaiting>[0][number]['ask']
}

const TARGET_LATENCY_MS = 300
/** Time from a slot to the first event. */
const FIRST_EVENT_MS = 60
/** Time that a resumed item needs to read its prompt again. */
const RESUME_MS = 60
const LIVE_TIMEOUT_MS = 5000
const ITEMS_DUE_MS = 18_000
const TICK_MS = 10
const COMPACT_EVERY_MS = 100
const DEFAULT_VIEW_AGE_MS = 50
const MS_PER_S = 1000

/** Replays a pattern. */
export function replay (pattern: Pattern, seed: number): Outcome {
  const random = createSeededRandom(seed)
  const targets = Array.from({ length: pattern.targets }, (_, index): ReplayTarget => (
    { id: `t${index}`, queue: [], running: [] }
  ))
  const uses = createUseLog(pattern.viewAgeMs ?? DEFAULT_VIEW_AGE_MS)
  const items: Item[] = []
  const waiting: Waiting[] = []
  let returning: Live[] = []
  let jobCount = 0
  let busyMs = 0
  let slotMs = 0
  let now = 0
  const outcome: Outcome = {
    live: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    sentAway: 0,
    slowestRefusalMs: 0,
    items: 0,
    itemsInTime: 0,
    interrupted: 0,
    use: 0,
    bounds: boundsOf(pattern),
    mostQueued: 0
  }

  function usable (): ReplayTarget[] {
    return targets.slice(0, pattern.targetsAt?.(now) ?? targets.length)
  }

  const instanceIds = Array.from({ length: pattern.instances }, (_, instance) => String(instance))
  const preferences = new Map(targets.map(({ id }) => (
    [id, rankByRendezvous(id, instanceIds, (one) => one).slice(0, pattern.preferring ?? 0)]
  )))

  function isPreferred (instance: number, target: string): boolean {
    return preferences.get(target)!.includes(String(instance))
  }

  function candidates (instance: number): PlacementCandidate[] {
    return usable().map(({ id }) => ({
      id,
      slots: pattern.slots,
      ...uses.view(instance, id, now),
      isNear: true,
      isSuspect: false,
      isFresh: true,
      isPreferred: isPreferred(instance, id)
    }))
  }

  function enter (targetId: string, work: Work): void {
    const target = targets.find(({ id }) => id === targetId)!
    uses.note({ at: now, instance: work.instance, target: target.id, isLive: work.isLive, by: 1 })
    target.queue.push(work)
    const queued = target.queue.length + target.running.length - pattern.slots
    outcome.mostQueued = Math.max(outcome.mostQueued, queued)
    admit(target)
  }

  function leave (target: ReplayTarget, work: Work): void {
    target.queue = target.queue.filter((one) => one !== work)
    target.running = target.running.filter((one) => one !== work)
    uses.note({ at: now, instance: work.instance, target: target.id, isLive: work.isLive, by: -1 })
    admit(target)
  }

  function admit (target: ReplayTarget): void {
    while (target.running.length < pattern.slots && target.queue.length > 0) {
      const work = target.queue.shift()!
      work.startedAt = now
      target.running.push(work)
      if (!work.isLive) continue
      if (now + FIRST_EVENT_MS <= work.dueAt) outcome.inTime += 1
      else outcome.late += 1
    }
  }

  function place (live: Live, mayQueue: boolean): boolean {
    const placement = choosePlacement({
      candidates: candidates(live.instance),
      targetLatencyMs: TARGET_LATENCY_MS,
      instances: pattern.instances,
      meanRunMs: pattern.liveRunMs,
      mayQueue,
      isRepeatable: true
    }, RELAY_RULES.live, random)
    if (placement.type === 'wait') return false
    if (placement.type === 'yield') takeOff(placement.id, 1)
    enter(placement.id, {
      isLive: true,
      instance: live.instance,
      runMs: spread(pattern.liveRunMs, random),
      dueAt: live.at + TARGET_LATENCY_MS
    })
    return true
  }

  /** Takes items off a target: those of one instance, or of any. */
  function takeOff (targetId: string, count: number, holder?: number): void {
    const target = targets.find(({ id }) => id === targetId)!
    const held = [...target.queue, ...target.running]
      .filter((work) => !work.isLive && (holder === undefined || work.instance === holder))
      .map((work) => ({
        job: work.job!,
        dueAt: rankItem(work.dueAt, leftOf(work), now),
        target: target.id,
        hasStarted: work.startedAt !== undefined,
        work
      }))
    for (const { work } of chooseYields(held, count)) interrupt(target, work)
  }

  function leftOf ({ runMs, startedAt }: Work): number {
    return startedAt === undefined ? runMs : runMs - (now - startedAt)
  }

  function interrupt (target: ReplayTarget, work: Work): void {
    const item = items.find((one) => one.work === work)!
    if (work.startedAt !== undefined) {
      outcome.interrupted += 1
      item.leftMs += RESUME_MS - (now - work.startedAt)
    }
    item.work = undefined
    leave(target, work)
  }

  function relieve (instance: number): void {
    for (const { id, slots, live, batch, ownBatch } of candidates(instance)) {
      const holders = Array.from({ length: pattern.instances }, (_, other) => ({
        id: String(other), batch: other === instance ? ownBatch : uses.batchOf(instance, other, id, now)
      }))
      const count = chooseRelief({ self: String(instance), slots, live, batch, holders })
      if (count > 0) takeOff(id, count, instance)
    }
  }

  function arrive (live: Live): void {
    if (place(live, true)) return
    const all = candidates(live.instance)
    const admission = decideAdmission({
      slots: all.length * pattern.slots,
      ahead: waiting.filter((one) => one.live.instance === live.instance).length,
      meanRunMs: pattern.liveRunMs,
      leftMs: LIVE_TIMEOUT_MS,
      isReturning: live.isReturning
    }, RELAY_RULES.live, random)
    if (admission.type === 'wait') {
      waiting.push({ live, ask: askOf(live) })
      return
    }
    outcome.slowestRefusalMs = Math.max(outcome.slowestRefusalMs, now - live.at)
    if (live.isReturning) {
      outcome.refused += 1
      return
    }
    outcome.sentAway += 1
    const instance = Math.floor(random() * pattern.instances)
    returning.push({ at: now + admission.retryAfterMs, isReturning: true, instance })
  }

  function askOf (live: Live): Waiting['ask'] {
    const route = { priority: 0, targetLatencyMs: TARGET_LATENCY_MS }
    return { arrivedAt: live.at, endAt: live.at + LIVE_TIMEOUT_MS, isReturning: live.isReturning, route }
  }

  function startItems (instance: number): void {
    const ready = items.filter((item) => item.work === undefined && item.leftMs > 0)
      .map((item) => ({ ...item, dueAt: rankItem(item.dueAt, item.leftMs, now), item }))
    const own = ready.filter((item) => item.instance === instance)
    if (own.length === 0) return
    const all = candidates(instance)
    const starts = chooseStarts({
      targets: all,
      own,
      others: ready.filter((item) => item.instance !== instance).map(({ dueAt }) => ({ dueAt, count: 1 })),
      liveReserve: Math.round(all.length * pattern.slots * RELAY_RULES.items.liveReserveShare)
    })
    for (const { item: { item }, target } of starts) {
      item.work = { isLive: false, instance, runMs: item.leftMs, job: item.job, dueAt: item.dueAt }
      enter(target, item.work)
    }
  }

  function finishWork (): void {
    for (const target of usable()) {
      for (const work of [...target.running]) {
        if (now - work.startedAt! >= work.runMs) finish(target, work)
      }
      if (now >= pattern.lengthMs) continue
      busyMs += target.running.length * TICK_MS
      slotMs += pattern.slots * TICK_MS
    }
  }

  function finish (target: ReplayTarget, work: Work): void {
    const item = items.find((one) => one.work === work)
    if (item !== undefined) {
      item.leftMs = 0
      if (now <= item.dueAt) outcome.itemsInTime += 1
    }
    leave(target, work)
  }

  /** Targets that are gone break off what they have. */
  function loseTargets (): void {
    for (const target of targets.slice(usable().length)) {
      for (const work of [...target.running, ...target.queue]) {
        if (work.isLive) leave(target, work)
        else interrupt(target, work)
      }
    }
  }

  function submitJobs (): void {
    for (const job of pattern.jobs.filter(({ atMs }) => atMs >= now && atMs < now + TICK_MS)) {
      const instance = jobCount % pattern.instances
      const name = `job${jobCount++}`
      for (let index = 0; index < job.items; index++) {
        items.push({ job: name, dueAt: now + ITEMS_DUE_MS, leftMs: spread(pattern.batchRunMs, random), instance })
      }
    }
  }

  function serveWaiting (): void {
    for (const entry of orderWaiting(waiting, now)) {
      const isOver = now > entry.ask.endAt
      if (!isOver && !place(entry.live, false)) continue
      waiting.splice(waiting.indexOf(entry), 1)
      if (isOver) outcome.refused += 1
    }
  }

  function takeArrivals (): void {
    const back = returning.filter(({ at }) => at <= now)
    returning = returning.filter(({ at }) => at > now)
    back.forEach((live) => arrive({ ...live, at: now }))
    if (now >= pattern.lengthMs) return
    for (let left = poisson(pattern.livePerS(now) * TICK_MS / MS_PER_S, random); left > 0; left--) {
      outcome.live += 1
      arrive({ at: now, isReturning: false, instance: Math.floor(random() * pattern.instances) })
    }
  }

  for (; now < pattern.lengthMs + LIVE_TIMEOUT_MS; now += TICK_MS) {
    if (now % COMPACT_EVERY_MS === 0) uses.compact(now)
    loseTargets()
    finishWork()
    submitJobs()
    serveWaiting()
    takeArrivals()
    for (let instance = 0; instance < pattern.instances; instance++) {
      relieve(instance)
      startItems(instance)
    }
  }

  return {
    ...outcome,
    items: items.length,
    inTime: outcome.inTime / Math.max(1, outcome.live),
    itemsInTime: outcome.itemsInTime / Math.max(1, items.length),
    use: busyMs / slotMs
  }
}

/** Run times vary by a quarter to both sides. */
function spread (mean: number, random: Random): number {
  return mean * (0.75 + random() / 2)
}

function poisson (mean: number, random: Random): number {
  const limit = Math.exp(-mean)
  let count = 0
  for (let product = random(); product > limit; product *= random()) count += 1
  return count
}
