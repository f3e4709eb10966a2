/**
 * Simulates the scheduling decisions under a load pattern, in virtual time. Arrivals and run times are drawn from a
 * seeded generator, each instance sees the load of the others with a delay, and targets admit requests in order of
 * arrival.
 */
import {
  countExcess, countRoom, chooseStarts, choosePreempted, choosePlacement, decideAdmission, decideItemVersion,
  orderWaiting, rankItem, type BatchCandidate, type PlacementCandidate
} from '..'
import { rankByRendezvous, type Random } from '../../../shared'
import { RELAY_RULES } from '../../rules'
import { computeBounds, type Bounds } from './bounds'
import { createSeededRandom } from './seededRandom'
import {
  createLoadHistory, type SimulatedRequest, type SimulatedTarget, type SimulatedWork
} from './targets'

export interface LoadPattern {
  instances: number
  targets: number
  slots: number
  lengthMs: number
  /** Live arrivals per second over all instances, at a given time. */
  livePerSecond: (ms: number) => number
  liveRunMs: number
  /** Batch jobs with their arrival times and item counts. */
  jobs: ReadonlyArray<{ atMs: number, items: number }>
  batchRunMs: number
  /** Delay with which an instance sees the load of the others, in milliseconds. */
  viewAgeMs?: number
  /** Number of instances that prefer each target; 0 by default. */
  preferringInstances?: number
  /** Number of available targets at a given time; all by default. */
  targetsAt?: (ms: number) => number
  /**
   * Time for which all instances are down: what ran is cut, and its callers and those that come meanwhile try once more
   * as soon as the instances are back, which have forgotten everything.
   */
  outage?: { fromMs: number, toMs: number }
  /** Software version of each target; the same for all by default. */
  versionOf?: (target: number) => string
}

export interface Outcome {
  live: number
  /** Share of live requests that got a slot soon enough to be on time. */
  onTime: number
  late: number
  /** Number of requests that were refused again on retry, or that timed out while they waited. */
  refused: number
  /** Number of requests that were refused on their first attempt. */
  refusedOnce: number
  slowestRefusalMs: number
  items: number
  /** Share of batch items that were finished when due. */
  itemsOnTime: number
  /** Number of batch items that began anew at another software version. */
  begunAnew: number
  /** Longest time for which an item waited for its version while other targets had room, in milliseconds. */
  longestVersionWaitMs: number
  /** Number of batch runs that were interrupted. */
  interrupted: number
  /** Share of slot time that was used. */
  utilization: number
  /** Upper bounds with complete knowledge; see `computeBounds`. */
  bounds: Bounds
  /** Largest number of requests at a target beyond its slots. */
  mostQueued: number
}

interface Item {
  job: string
  dueAt: number
  leftMs: number
  wholeMs: number
  instance: number
  /** Version of the target that ran the item last. */
  version?: string
  /** Since when targets of other versions have had room while the item waits. */
  blockedSince?: number
  work?: SimulatedWork
}

interface Waiting {
  live: SimulatedRequest
  ask: Parameters<typeof orderWaiting>[0][number]['ask']
}

const TARGET_LATENCY_MS = 300
/** Time from getting a slot to the first event, in milliseconds. */
const FIRST_EVENT_MS = 60
/** Time that a resumed item needs to process its prompt again, in milliseconds. */
const RESUME_MS = 60
const LIVE_TIMEOUT_MS = 5000
const ITEMS_DUE_MS = 18_000
const TICK_MS = 10
const COMPACT_EVERY_MS = 100
const DEFAULT_VIEW_AGE_MS = 50
const MS_PER_S = 1000

export function simulate (pattern: LoadPattern, seed: number): Outcome {
  const random = createSeededRandom(seed)
  const targets = Array.from({ length: pattern.targets }, (_, index): SimulatedTarget => (
    { id: `t${index}`, queue: [], running: [] }
  ))
  const loadHistory = createLoadHistory(pattern.viewAgeMs ?? DEFAULT_VIEW_AGE_MS)
  const items: Item[] = []
  const waiting: Waiting[] = []
  let retries: SimulatedRequest[] = []
  let jobCount = 0
  let busyMs = 0
  let slotMs = 0
  let now = 0
  const outcome: Outcome = {
    live: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    refusedOnce: 0,
    slowestRefusalMs: 0,
    items: 0,
    itemsOnTime: 0,
    begunAnew: 0,
    longestVersionWaitMs: 0,
    interrupted: 0,
    utilization: 0,
    bounds: computeBounds(pattern),
    mostQueued: 0
  }

  function getAvailableTargets (): SimulatedTarget[] {
    return targets.slice(0, pattern.targetsAt?.(now) ?? targets.length)
  }

  const instanceIds = Array.from({ length: pattern.instances }, (_, instance) => String(instance))
  const preferences = new Map(targets.map(({ id }) => (
    [id, rankByRendezvous(id, instanceIds, (one) => one).slice(0, pattern.preferringInstances ?? 0)]
  )))

  function isPreferred (instance: number, target: string): boolean {
    return preferences.get(target)!.includes(String(instance))
  }

  function getVersion (target: string): string {
    return pattern.versionOf?.(targets.findIndex(({ id }) => id === target)) ?? 'v1'
  }

  function listCandidates (instance: number): PlacementCandidate[] {
    return getAvailableTargets().map(({ id }) => ({
      id,
      slots: pattern.slots,
      ...loadHistory.view(instance, id, now),
      isNear: true,
      isSuspect: false,
      isFresh: true,
      allowance: Infinity,
      isPreferred: isPreferred(instance, id)
    }))
  }

  function enqueue (targetId: string, work: SimulatedWork): void {
    const target = targets.find(({ id }) => id === targetId)!
    loadHistory.record({ at: now, instance: work.instance, target: target.id, isLive: work.isLive, by: 1 })
    target.queue.push(work)
    const queued = target.queue.length + target.running.length - pattern.slots
    outcome.mostQueued = Math.max(outcome.mostQueued, queued)
    admit(target)
  }

  function removeWork (target: SimulatedTarget, work: SimulatedWork): void {
    target.queue = target.queue.filter((one) => one !== work)
    target.running = target.running.filter((one) => one !== work)
    loadHistory.record({ at: now, instance: work.instance, target: target.id, isLive: work.isLive, by: -1 })
    admit(target)
  }

  function admit (target: SimulatedTarget): void {
    while (target.running.length < pattern.slots && target.queue.length > 0) {
      const work = target.queue.shift()!
      work.startedAt = now
      target.running.push(work)
      if (!work.isLive) continue
      if (now + FIRST_EVENT_MS <= work.dueAt) outcome.onTime += 1
      else outcome.late += 1
    }
  }

  function place (live: SimulatedRequest, mayQueue: boolean): boolean {
    const placement = choosePlacement({
      candidates: listCandidates(live.instance),
      targetLatencyMs: TARGET_LATENCY_MS,
      instances: pattern.instances,
      meanRunMs: pattern.liveRunMs,
      mayQueue,
      isRepeatable: true,
      isContinuation: false
    }, RELAY_RULES.live, random)
    if (placement.type === 'wait') return false
    if (placement.type === 'yield') preempt(placement.id, 1)
    enqueue(placement.id, {
      isLive: true,
      live,
      instance: live.instance,
      runMs: drawRunTime(pattern.liveRunMs, random),
      dueAt: live.at + TARGET_LATENCY_MS
    })
    return true
  }

  /** Preempts items at a target, those of one instance if given. */
  function preempt (targetId: string, count: number, holder?: number): void {
    const target = targets.find(({ id }) => id === targetId)!
    const held = [...target.queue, ...target.running]
      .filter((work) => !work.isLive && (holder === undefined || work.instance === holder))
      .map((work) => ({
        job: work.job!,
        dueAt: rankItem(work.dueAt, getRemainingMs(work), now),
        target: target.id,
        hasStarted: work.startedAt !== undefined,
        work
      }))
    for (const { work } of choosePreempted(held, count)) interrupt(target, work)
  }

  function getRemainingMs ({ runMs, startedAt }: SimulatedWork): number {
    return startedAt === undefined ? runMs : runMs - (now - startedAt)
  }

  function interrupt (target: SimulatedTarget, work: SimulatedWork): void {
    const item = items.find((one) => one.work === work)!
    if (work.startedAt !== undefined) {
      outcome.interrupted += 1
      item.leftMs += RESUME_MS - (now - work.startedAt)
      item.version = getVersion(target.id)
    }
    item.work = undefined
    removeWork(target, work)
  }

  function preemptExcess (instance: number): void {
    for (const { id, slots, live, batch, ownBatch } of listCandidates(instance)) {
      const holders = Array.from({ length: pattern.instances }, (_, other) => ({
        id: String(other), batch: other === instance ? ownBatch : loadHistory.countBatch(instance, other, id, now)
      }))
      const count = countExcess({ self: String(instance), slots, live, batch, holders })
      if (count > 0) preempt(id, count, instance)
    }
  }

  function arrive (live: SimulatedRequest): void {
    if (place(live, true)) return
    const all = listCandidates(live.instance)
    const admission = decideAdmission({
      slots: all.length * pattern.slots,
      queueLength: waiting.filter((one) => one.live.instance === live.instance).length,
      meanRunMs: pattern.liveRunMs,
      remainingMs: live.deadlineMs,
      isReturning: live.isReturning,
      isContinuation: false
    }, RELAY_RULES.live, random)
    if (admission.type === 'wait') {
      waiting.push({ live, ask: toAsk(live) })
      return
    }
    outcome.slowestRefusalMs = Math.max(outcome.slowestRefusalMs, now - live.at)
    if (live.isReturning) {
      outcome.refused += 1
      return
    }
    outcome.refusedOnce += 1
    const instance = Math.floor(random() * pattern.instances)
    const deadlineMs = live.deadlineMs - admission.retryAfterMs
    retries.push({ at: now + admission.retryAfterMs, isReturning: true, deadlineMs, instance })
  }

  function comeAgain (live: SimulatedRequest, at: number): void {
    const deadlineMs = live.deadlineMs - (at - live.at)
    const isLost = live.isReturning || deadlineMs <= 0
    if (isLost) outcome.refused += 1
    else retries.push({ ...live, at, isReturning: true, deadlineMs })
  }

  function isDown (): boolean {
    return pattern.outage !== undefined && now >= pattern.outage.fromMs && now < pattern.outage.toMs
  }

  /** Cuts everything as the instances go down. */
  function cutAll (backAt: number): void {
    for (const { live } of waiting.splice(0)) comeAgain(live, backAt)
    for (const target of targets) {
      for (const work of [...target.running, ...target.queue]) {
        if (work.live !== undefined) comeAgain(work.live, backAt)
        const item = items.find((one) => one.work === work)
        if (item !== undefined) Object.assign(item, { work: undefined, leftMs: item.wholeMs })
      }
      Object.assign(target, { queue: [], running: [] })
    }
    loadHistory.clear()
  }

  function toAsk (live: SimulatedRequest): Waiting['ask'] {
    const route = { priority: 0, targetLatencyMs: TARGET_LATENCY_MS }
    const endAt = live.at + live.deadlineMs
    return { arrivedAt: live.at, endAt, isReturning: live.isReturning, isContinuation: false, route }
  }

  function startItems (instance: number): void {
    const waiting = items.filter((item) => item.work === undefined && item.leftMs > 0)
    const all = listCandidates(instance).map((one) => ({ ...one, version: getVersion(one.id) }))
    const liveReserve = Math.round(all.length * pattern.slots * RELAY_RULES.items.liveReserveShare)
    for (const item of waiting) if (item.instance === instance) dropBlockedWork(item, all, liveReserve)
    const ready = waiting.map((item) => ({ ...item, dueAt: rankItem(item.dueAt, item.leftMs, now), item }))
    const own = ready.filter((item) => item.instance === instance)
    if (own.length === 0) return
    const starts = chooseStarts({
      targets: all,
      own,
      others: ready.filter((item) => item.instance !== instance)
        .map(({ dueAt, version }) => ({ dueAt, version, count: 1 })),
      liveReserve
    })
    for (const { item: { item }, target } of starts) {
      item.blockedSince = undefined
      item.work = { isLive: false, instance, runMs: item.leftMs, job: item.job, dueAt: item.dueAt }
      enqueue(target, item.work)
    }
  }

  /** Lets an item begin anew if its version is gone or crowded. */
  function dropBlockedWork (item: Item, all: readonly BatchCandidate[], liveReserve: number): void {
    if (item.version === undefined) return
    const same = all.filter(({ version }) => version === item.version)
    const others = all.filter(({ version }) => version !== item.version)
    const hasRoom = countRoom(same) > 0
    const hasOtherRoom = countRoom(others) > liveReserve
    item.blockedSince = hasOtherRoom ? item.blockedSince ?? now : undefined
    outcome.longestVersionWaitMs = Math.max(outcome.longestVersionWaitMs, now - (item.blockedSince ?? now))
    const decision = decideItemVersion({
      sameVersion: same.length,
      otherVersions: others.length,
      hasRoom,
      hasOtherRoom,
      waitedMs: now - (item.blockedSince ?? now),
      dueInMs: item.dueAt - now,
      wholeMs: pattern.batchRunMs,
      restMs: Math.min(pattern.batchRunMs, item.leftMs)
    }, RELAY_RULES.items)
    if (decision.type === 'goOn') return
    outcome.begunAnew += 1
    Object.assign(item, { version: undefined, blockedSince: undefined, leftMs: item.wholeMs })
  }

  function finishWork (): void {
    for (const target of getAvailableTargets()) {
      for (const work of [...target.running]) {
        if (now - work.startedAt! >= work.runMs) finish(target, work)
      }
      if (now >= pattern.lengthMs) continue
      busyMs += target.running.length * TICK_MS
      slotMs += pattern.slots * TICK_MS
    }
  }

  function finish (target: SimulatedTarget, work: SimulatedWork): void {
    const item = items.find((one) => one.work === work)
    if (item !== undefined) {
      item.leftMs = 0
      if (now <= item.dueAt) outcome.itemsOnTime += 1
    }
    removeWork(target, work)
  }

  /** Interrupts all work at targets that have become unavailable. */
  function interruptLostTargets (): void {
    for (const target of targets.slice(getAvailableTargets().length)) {
      for (const work of [...target.running, ...target.queue]) {
        if (work.isLive) removeWork(target, work)
        else interrupt(target, work)
      }
    }
  }

  function submitJobs (): void {
    for (const job of pattern.jobs.filter(({ atMs }) => atMs >= now && atMs < now + TICK_MS)) {
      const instance = jobCount % pattern.instances
      const name = `job${jobCount++}`
      for (let index = 0; index < job.items; index++) {
        const wholeMs = drawRunTime(pattern.batchRunMs, random)
        items.push({ job: name, dueAt: now + ITEMS_DUE_MS, leftMs: wholeMs, wholeMs, instance })
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

  function processArrivals (): void {
    const back = retries.filter(({ at }) => at <= now)
    retries = retries.filter(({ at }) => at > now)
    back.forEach(arrive)
    if (now >= pattern.lengthMs) return
    for (let left = drawPoisson(pattern.livePerSecond(now) * TICK_MS / MS_PER_S, random); left > 0; left--) {
      outcome.live += 1
      const live = {
        at: now, isReturning: false, deadlineMs: LIVE_TIMEOUT_MS, instance: Math.floor(random() * pattern.instances)
      }
      if (isDown()) comeAgain(live, pattern.outage!.toMs)
      else arrive(live)
    }
  }

  for (; now < pattern.lengthMs + LIVE_TIMEOUT_MS; now += TICK_MS) {
    if (now % COMPACT_EVERY_MS === 0) loadHistory.compact(now)
    if (now === pattern.outage?.fromMs) cutAll(pattern.outage.toMs)
    interruptLostTargets()
    finishWork()
    submitJobs()
    serveWaiting()
    processArrivals()
    for (let instance = 0; instance < pattern.instances && !isDown(); instance++) {
      preemptExcess(instance)
      startItems(instance)
    }
  }

  return {
    ...outcome,
    items: items.length,
    onTime: outcome.onTime / Math.max(1, outcome.live),
    itemsOnTime: outcome.itemsOnTime / Math.max(1, items.length),
    utilization: busyMs / slotMs
  }
}

/** Draws a run time uniformly within a quarter of the mean to both sides. */
function drawRunTime (mean: number, random: Random): number {
  return mean * (0.75 + random() / 2)
}

function drawPoisson (mean: number, random: Random): number {
  const limit = Math.exp(-mean)
  let count = 0
  for (let product = random(); product > limit; product *= random()) count += 1
  return count
}
