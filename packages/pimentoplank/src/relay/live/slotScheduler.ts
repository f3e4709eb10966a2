/** Schedules live requests on targets: at once where a slot is free, otherwise in queue order as slots become free. */
import { err, ok, type Result } from 'neverthrow'
import { RefusalError, type Clock, type Log, type Metrics, type Random } from '../../shared'
import {
  choosePlacement, decideAdmission, listResumeCandidates, orderWaiting, type AdmissionRules, type PlacementRules
} from '../decisions'
import type { Gossip } from '../gossip'
import type { LoadView, TargetLoad } from '../load'
import type { Route, Target } from '../model'

/** The right to send one request to a target. */
export interface Slot {
  target: Target
  /** How the target was chosen; logged. */
  placement: string
  /** Load of the target when it was chosen, as known to this instance. */
  load: { live: number, batch: number, slots: number }
  /** Ends the use of the slot by a request. */
  release: () => void
  /** Gives the slot back unused. */
  discard: () => void
}

export interface SlotQuery {
  requestId: string
  route: Route
  service: string
  arrivedAt: number
  /** Deadline of the request, on the monotonic clock. */
  endAt: number
  /** True when the caller was refused before and retries. */
  isReturning: boolean
  /** True when the request may run again at another target. */
  isRepeatable: boolean
  /** True when a target has run the request; it waits for a slot rather than being refused. */
  isContinuation: boolean
  /** True when the request must not wait in the queue of a target. */
  needsFreeSlot?: boolean
  /** Software version of the targets at which the request may go on; undefined for a request that has not begun. */
  version?: string
  /** Ids of targets that must not be used. */
  excluded: ReadonlySet<string>
  /** Ids of the only targets that may be used; any if it is not set. */
  only?: ReadonlySet<string>
  /** Ids of excluded targets that may be used where the version has no others. */
  reusable?: ReadonlySet<string>
  signal: AbortSignal
}

export interface SlotScheduler {
  acquire: (ask: SlotQuery) => Promise<Result<Slot, RefusalError>>
  /** Assigns free slots to waiting requests. */
  dispatch: () => void
  countWaiting: () => number
}

export interface SlotSchedulerOptions {
  loads: LoadView
  gossip: Pick<Gossip, 'askToYield'>
  /** Interrupts batch items of this instance on a target. */
  yieldOwn: (targetId: string, count: number) => void
  failureDomain: string
  /** Number of instances, this one included, that share the targets whose load is known without delay. */
  countSharers: () => number
  rules: PlacementRules & AdmissionRules
  clock: Clock
  random: Random
  metrics: Metrics
  log: Log
}

interface Waiting {
  ask: SlotQuery
  since: number
  settle: (result: Result<Slot, RefusalError>) => void
}

/** Estimated run time before the first run has ended, in milliseconds. */
const FIRST_RUN_ESTIMATE_MS = 1000
/** Weight of a new run time in the exponential moving average. */
const RUN_MEAN_WEIGHT = 0.1
const MS_PER_S = 1000
const NO_VERSIONS: ReadonlySet<string | undefined> = new Set()

/** Creates the slot scheduler of an instance. */
export function createSlotScheduler (options: SlotSchedulerOptions): SlotScheduler {
  const { loads, rules, clock, random, metrics, log } = options
  let queue: Waiting[] = []
  const meanRunMs = new Map<string, number>()

  /** Targets that leave are candidates only where no others are. */
  function findCandidates (ask: SlotQuery): TargetLoad[] {
    const candidates = findTargets(ask)
    const staying = candidates.filter(({ isLeaving }) => !isLeaving)
    return staying.length > 0 ? staying : candidates
  }

  function findTargets (ask: SlotQuery): TargetLoad[] {
    const { only } = ask
    const all = loads.getLoads(ask.service).filter(({ target }) => only === undefined || only.has(target.id))
    const { version, excluded, reusable } = ask
    if (version === undefined) return all.filter(({ target }) => !excluded.has(target.id))
    const candidates = all.map((load) => ({ load, ...load.target, isOutdated: load.isOutdated }))
    return listResumeCandidates(candidates, { version, excluded, reusable }).map(({ load }) => load)
  }

  /**
   * Versions at which requests of a service wait to go on; new ones leave the slots there to them. None where there is
   * only one version: a slot that is free there is one that those requests can't use.
   */
  function getAwaitedVersions (service: string): ReadonlySet<string | undefined> {
    const bound = queue.filter(({ ask }) =>
      ask.service === service && ask.version !== undefined && ask.needsFreeSlot !== true)
    if (bound.length === 0) return NO_VERSIONS
    const isMixed = new Set(loads.getLoads(service).map(({ target }) => target.version)).size > 1
    return isMixed ? new Set(bound.map(({ ask }) => ask.version)) : NO_VERSIONS
  }

  /** Refuses a request that can't go on, however long it waits. */
  function refuseWithoutVersion (ask: SlotQuery): RefusalError | undefined {
    if (ask.version === undefined || findCandidates(ask).length > 0) return undefined
    log.info({ req: ask.requestId, reason: 'noTarget', version: ask.version }, 'no target of its version takes the request')
    return new RefusalError('noTarget')
  }

  /** Requests for other services wait for other slots. */
  function countQueued (service: string): number {
    return queue.filter(({ ask }) => ask.service === service).length
  }

  function estimateRunMs (service: string): number {
    return meanRunMs.get(service) ?? FIRST_RUN_ESTIMATE_MS
  }

  function tryPlace (ask: SlotQuery, mayQueue: boolean): Slot | undefined {
    const awaited = ask.version === undefined ? getAwaitedVersions(ask.service) : NO_VERSIONS
    const all = findCandidates(ask).filter(({ target, isOutdated }) => isOutdated || !awaited.has(target.version))
    const placement = choosePlacement({
      candidates: all.map((load) => ({
        id: load.target.id,
        slots: load.target.slots,
        live: load.live,
        batch: load.batch,
        ownLive: load.ownLive,
        ownBatch: load.ownBatch,
        isNear: load.target.failureDomain === options.failureDomain,
        isSuspect: load.isSuspect,
        isFresh: load.isFresh,
        isPreferred: load.isPreferred,
        allowance: load.allowance
      })),
      targetLatencyMs: ask.route.targetLatencyMs,
      instances: options.countSharers(),
      meanRunMs: estimateRunMs(ask.service),
      mayQueue: ask.needsFreeSlot !== true && (mayQueue || ask.isContinuation),
      isRepeatable: ask.isRepeatable,
      isContinuation: ask.isContinuation
    }, rules, random)
    if (placement.type === 'wait') return undefined
    const chosen = all.find(({ target }) => target.id === placement.id)!
    if (placement.type === 'yield') preemptBatchItem(chosen)
    return grant(ask, chosen, placement.type)
  }

  function preemptBatchItem (load: TargetLoad): void {
    if (load.ownBatch > 0) {
      options.yieldOwn(load.target.id, 1)
      return
    }
    const [holder] = loads.listBatchHolders(load.key)
    if (holder !== undefined) options.gossip.askToYield(holder.report.instance, load.key, 1)
  }

  function grant (ask: SlotQuery, { target, live, batch }: TargetLoad, placement: string): Slot {
    const startedAt = clock.now()
    let isHeld = true
    loads.begin(target.id, 'live')
    metrics.count(`slots.${placement}`)
    const discard = (): void => {
      if (!isHeld) return
      isHeld = false
      loads.end(target.id, 'live')
      assignFreeSlots()
    }
    return {
      target,
      placement,
      load: { live, batch, slots: target.slots },
      release: () => {
        if (isHeld) recordRun(ask.service, clock.now() - startedAt)
        discard()
      },
      discard
    }
  }

  function recordRun (service: string, ms: number): void {
    const mean = meanRunMs.get(service) ?? ms
    meanRunMs.set(service, mean + (ms - mean) * RUN_MEAN_WEIGHT)
  }

  async function acquire (ask: SlotQuery): Promise<Result<Slot, RefusalError>> {
    const refusal = refuseWithoutVersion(ask)
    if (refusal !== undefined) return err(refusal)
    const slot = tryPlace(ask, true)
    if (slot !== undefined) return ok(slot)
    if (ask.version !== undefined) return await enqueue(ask)
    const all = findCandidates(ask)
    const admission = decideAdmission({
      slots: all.reduce((sum, load) => sum + countUsableSlots(load, estimateRunMs(ask.service)), 0),
      queueLength: countQueued(ask.service),
      meanRunMs: estimateRunMs(ask.service),
      remainingMs: ask.endAt - clock.now(),
      isReturning: ask.isReturning,
      isContinuation: ask.isContinuation
    }, rules, random)
    if (admission.type === 'refuse') {
      log.info({
        req: ask.requestId,
        reason: admission.reason,
        waiting: countQueued(ask.service),
        ...summarizeLoads(all),
        expectedMs: admission.expectedMs,
        retryAfterMs: admission.retryAfterMs
      }, 'refused')
      return err(new RefusalError(admission.reason, { retryAfterMs: admission.retryAfterMs }))
    }
    return await enqueue(ask)
  }

  /** Free slots include those of batch items, which live requests preempt. */
  function summarizeLoads (all: readonly TargetLoad[]): Record<string, number> {
    const trusted = all.filter(({ isSuspect }) => !isSuspect)
    const countFree = (loads: readonly TargetLoad[]): number =>
      loads.reduce((sum, { target, live }) => sum + Math.max(0, target.slots - live), 0)
    const leftOutByOwn = all.filter(({ isOwnSuspect }) => isOwnSuspect).length
    return {
      targets: all.length,
      trusted: trusted.length,
      leftOutByOwn,
      leftOutByPeers: all.length - trusted.length - leftOutByOwn,
      ownLive: all.reduce((sum, load) => sum + load.ownLive, 0),
      peersLive: all.reduce((sum, { live, ownLive }) => sum + live - ownLive, 0),
      free: countFree(all),
      trustedFree: countFree(trusted)
    }
  }

  /** A target with a limit runs no more requests at once than the limit lets in during one run. */
  function countUsableSlots ({ target, limitPerSecond = Infinity }: TargetLoad, runMs: number): number {
    return Math.min(target.slots, limitPerSecond * runMs / MS_PER_S)
  }

  async function enqueue (ask: SlotQuery): Promise<Result<Slot, RefusalError>> {
    if (ask.signal.aborted) return err(new RefusalError('timeout'))
    return await new Promise((resolve) => {
      const onAbort = (): void => entry.settle(err(new RefusalError('timeout')))
      const entry: Waiting = {
        ask,
        since: clock.now(),
        settle: (result) => {
          ask.signal.removeEventListener('abort', onAbort)
          queue = queue.filter((other) => other !== entry)
          resolve(result)
        }
      }
      ask.signal.addEventListener('abort', onAbort)
      queue.push(entry)
      metrics.gauge('slots.waiting', queue.length)
    })
  }

  function assignFreeSlots (): void {
    if (queue.length === 0) return
    for (const entry of orderWaiting(queue, clock.now())) {
      const { ask } = entry
      const refusal = refuseWithoutVersion(ask)
      if (refusal !== undefined) {
        entry.settle(err(refusal))
        continue
      }
      const slot = tryPlace(ask, false)
      if (slot !== undefined) entry.settle(ok(slot))
    }
    metrics.gauge('slots.waiting', queue.length)
  }

  return { acquire, dispatch: assignFreeSlots, countWaiting: () => queue.length }
}
