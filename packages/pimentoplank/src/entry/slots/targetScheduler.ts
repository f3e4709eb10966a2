/** Scheduler of one target's slots: live before batch, within the concurrency limit, and not while it is ejected. */
import { SlotRefusalReason, SlotResult, type Clock, type Metrics, type SlotSchedulerSettings } from '../../shared'
import { createRunTimeAverage } from './runTimeAverage'
import { createEjection } from './ejection'
import { createFairQueue, type FairQueue } from './fairQueue'
import type { Holder } from './holder'
import { createConcurrencyLimit, type LimitGoals } from './concurrencyLimit'

/**
 * How much of a target's limit an instance may grant.
 *
 * - `full`: it is the first owner; the whole limit
 * - `partial`: it is a new owner that still collects reported grants, or it stands in for another owner; only live
 *   work, within a share of the limit
 */
export type Authority = 'full' | 'partial'

export interface Ticket {
  holder: Holder
  ticket: number
  batch: boolean
  account: string
  weight: number
  /** On the owner's monotonic clock, in milliseconds. */
  deadlineAt: number
  ignoreEjection: boolean
  /** True for a stream that has delivered tokens; it waits until its deadline rather than being refused for load. */
  begun: boolean
}

export interface ReleaseReport {
  result: SlotResult
  /** 0 when no token was received. */
  firstTokenMs: number
  tokenGapMs: number
}

export interface SchedulerLoad {
  limit: number
  inUse: number
  batchInUse: number
  waiting: number
  waitingBatch: number
  ejectedMs: number
}

export interface TargetSchedulerOptions {
  targetId: string
  settings: SlotSchedulerSettings
  clock: Clock
  metrics: Metrics
  goals: () => LimitGoals
  authority: () => Authority
  /** False when the target is leaving or gone. */
  isGrantable: () => boolean
  /** Scales the adaptive limit, such as to the local share of it. */
  scaleLimit?: (limit: number) => number
}

export interface TargetScheduler {
  readonly targetId: string
  acquire: (ticket: Ticket) => void
  /** Withdraws a ticket, waiting or granted. */
  withdraw: (holder: Holder, ticket: number) => void
  release: (holder: Holder, ticket: number, report: ReleaseReport) => void
  /** Takes over a grant that a holder reports, such as one issued by another owner. */
  adopt: (holder: Holder, ticket: number, batch: boolean) => void
  /** Drops the waiting tickets of a holder and keeps its grants. */
  dropWaiting: (holder: Holder) => void
  /** Frees the slot of a grant without a report, such as one whose holder is lost. */
  free: (holder: Holder, ticket: number) => void
  /** Refuses every waiting ticket. */
  refuseWaiting: (reason: SlotRefusalReason) => void
  /** Refuses waiting tickets that can no longer meet their deadline, and grants free slots. */
  sweep: () => void
  load: () => SchedulerLoad
  isEmpty: () => boolean
}

interface Grant {
  holder: Holder
  ticket: number
  batch: boolean
  grantedAt: number
  revoked: boolean
  probe: boolean
}

type Queue = FairQueue<Ticket>

const FAILED_RESULTS: ReadonlySet<SlotResult> = new Set([
  SlotResult.FAILED, SlotResult.CRASHED, SlotResult.NOT_RUN
])

/** Creates the scheduler of a target, without grants. */
export function createTargetScheduler (options: TargetSchedulerOptions): TargetScheduler {
  const { settings, clock, metrics, targetId } = options
  const live: Queue = createFairQueue()
  const batch: Queue = createFairQueue()
  const waiting = new Map<string, Ticket>()
  const grants = new Map<string, Grant>()
  const limit = createConcurrencyLimit(settings, options.goals)
  const ejection = createEjection(settings)
  const runTimes = createRunTimeAverage(settings.initialRunMs)
  let batchInUse = 0
  let revoking = 0

  const getQueue = (ticket: Ticket): Queue => ticket.batch ? batch : live

  function getFullLimit (): number {
    return options.scaleLimit?.(limit.current()) ?? limit.current()
  }

  function getCapacity (): number {
    const full = getFullLimit()
    return options.authority() === 'full' ? full : Math.max(1, Math.floor(full * settings.partialShare))
  }

  function getBatchReserve (): number {
    return Math.min(settings.batchReserve, getCapacity() - 1)
  }

  /** Estimates the time until a ticket behind `ahead` others starts, in milliseconds. */
  function estimateWaitMs (ahead: number): number {
    const free = getCapacity() - (grants.size - batchInUse)
    const behind = ahead - free + 1
    return behind <= 0 ? 0 : behind * runTimes.meanRunMs() / getCapacity()
  }

  /** Whether the ticket can't meet its deadline, with the estimated wait multiplied by a safety margin. */
  function isDeadlineUnreachable (ticket: Ticket, margin: number): boolean {
    const wait = ticket.batch ? 0 : margin * estimateWaitMs(live.countAhead(ticket))
    const needed = wait === 0 || ticket.begun ? 0 : wait + runTimes.meanRunMs() * settings.runShare
    return clock.now() + needed >= ticket.deadlineAt
  }

  /** Estimates the time until the current queue has drained, in milliseconds. */
  function retryAfterMs (): number {
    return Math.max(settings.sweepMs, Math.ceil(estimateWaitMs(live.size())))
  }

  function refuse (ticket: Ticket, reason: SlotRefusalReason): void {
    metrics.count(`slots.refused.${SlotRefusalReason[reason].toLowerCase()}`)
    ticket.holder.tickets.delete(ticket.ticket)
    const wait = reason === SlotRefusalReason.EJECTED ? ejection.remainingMs(clock.now()) : retryAfterMs()
    ticket.holder.port?.refused(ticket.ticket, reason, wait, scheduler)
  }

  function refuseQueued (ticket: Ticket, reason: SlotRefusalReason): void {
    getQueue(ticket).remove(ticket)
    waiting.delete(getKey(ticket.holder, ticket.ticket))
    refuse(ticket, reason)
  }

  function isAdmitted (ticket: Ticket): boolean {
    return ticket.ignoreEjection || ejection.getAdmission(clock.now()) !== 'closed'
  }

  /** Returns the safety factor on the wait of a new ticket, chosen so that few queued tickets are refused later. */
  function getWaitMargin (ticket: Ticket): number {
    return live.isAboveFairShare(ticket) ? settings.overtakenMargin : settings.waitMargin
  }

  /** Returns why a new ticket must be refused without queueing; undefined when it is admitted. */
  function findRefusalReason (ticket: Ticket): SlotRefusalReason | undefined {
    // Batch work is granted under full authority only; until then, holders try another target for it.
    if (ticket.batch && options.authority() !== 'full') return SlotRefusalReason.NOT_HOME
    if (!options.isGrantable()) return SlotRefusalReason.LEAVING
    if (!isAdmitted(ticket)) return SlotRefusalReason.EJECTED
    if (isDeadlineUnreachable(ticket, getWaitMargin(ticket))) return SlotRefusalReason.DEADLINE
    return undefined
  }

  function acquire (ticket: Ticket): void {
    const reason = findRefusalReason(ticket)
    if (reason !== undefined) {
      refuse(ticket, reason)
      return
    }
    if (!makeQueueRoom(ticket)) {
      refuse(ticket, SlotRefusalReason.QUEUE_FULL)
      return
    }
    getQueue(ticket).add(ticket)
    waiting.set(getKey(ticket.holder, ticket.ticket), ticket)
    ticket.holder.tickets.set(ticket.ticket, scheduler)
    dispatch()
    if (waiting.has(getKey(ticket.holder, ticket.ticket))) ticket.holder.port?.queued(ticket.ticket, scheduler)
  }

  function makeQueueRoom (ticket: Ticket): boolean {
    const queue = getQueue(ticket)
    const bound = ticket.batch ? settings.maxWaitingBatch : settings.maxWaiting
    if (ticket.begun || queue.size() < bound || (!ticket.batch && grants.size < getCapacity())) return true
    const candidate = queue.findEvictable(ticket, (other) => !other.begun)
    if (candidate === undefined) return false
    refuseQueued(candidate, SlotRefusalReason.QUEUE_FULL)
    return true
  }

  function dispatch (): void {
    if (!options.isGrantable()) return
    while (live.size() > 0 && grants.size < getCapacity()) {
      if (!dispatchNext(live)) break
    }
    while (canStartBatch()) {
      if (!dispatchNext(batch)) break
    }
    preemptBatch()
  }

  function canStartBatch (): boolean {
    return options.authority() === 'full' && batch.size() > 0 &&
      grants.size < getCapacity() - getBatchReserve()
  }

  /** Grants a slot to the next ticket, or refuses it if the target is ejected; false when the queue is empty. */
  function dispatchNext (queue: Queue): boolean {
    const ticket = queue.take()
    if (ticket === undefined) return false
    waiting.delete(getKey(ticket.holder, ticket.ticket))
    if (!isAdmitted(ticket)) {
      refuse(ticket, SlotRefusalReason.EJECTED)
      return true
    }
    grantSlot(ticket)
    return true
  }

  function grantSlot (ticket: Ticket): void {
    const probe = ejection.getAdmission(clock.now()) === 'probe'
    if (probe) ejection.startProbe()
    const { holder, ticket: number, batch: isBatch } = ticket
    addGrant({ holder, ticket: number, batch: isBatch, grantedAt: clock.now(), revoked: false, probe })
    metrics.count(ticket.batch ? 'slots.granted.batch' : 'slots.granted.live')
    ticket.holder.port?.granted(ticket.ticket, scheduler)
  }

  function addGrant (grant: Grant): void {
    grants.set(getKey(grant.holder, grant.ticket), grant)
    grant.holder.tickets.set(grant.ticket, scheduler)
    if (grant.batch) batchInUse += 1
    limit.recordInUse(grants.size)
  }

  function removeGrant (holder: Holder, ticket: number): Grant | undefined {
    const grant = grants.get(getKey(holder, ticket))
    if (grant === undefined) return undefined
    grants.delete(getKey(holder, ticket))
    holder.tickets.delete(ticket)
    if (grant.batch) batchInUse -= 1
    if (grant.revoked) revoking -= 1
    return grant
  }

  /** Preempts batch grants, the newest first, for waiting live work and for the batch reserve. */
  function preemptBatch (): void {
    let excess = live.size() + grants.size - revoking + getBatchReserve() - getCapacity()
    if (excess <= 0 || batchInUse === 0) return
    for (const grant of [...grants.values()].reverse()) {
      if (excess <= 0) return
      if (!grant.batch || grant.revoked || grant.holder.port === undefined) continue
      grant.revoked = true
      revoking += 1
      excess -= 1
      metrics.count('slots.revoked')
      grant.holder.port.revoked(grant.ticket)
    }
  }

  function recordOutcome (grant: Grant, report: ReleaseReport): void {
    const now = clock.now()
    if (grant.probe) ejection.cancelProbe()
    if (report.result === SlotResult.DONE) {
      if (ejection.recordSuccess(grant.grantedAt)) metrics.count('slots.readmitted')
      if (!grant.batch) runTimes.record(now - grant.grantedAt)
    }
    if (FAILED_RESULTS.has(report.result)) recordFailure(grant, report)
    limit.report(report)
  }

  function recordFailure (grant: Grant, report: ReleaseReport): void {
    const crashed = report.result === SlotResult.CRASHED
    if (!ejection.recordFailure(clock.now(), { grantedAt: grant.grantedAt, crashed })) return
    metrics.count('slots.ejected')
    const rejected = [...waiting.values()].filter((ticket) => !isAdmitted(ticket))
    for (const ticket of rejected) refuseQueued(ticket, SlotRefusalReason.EJECTED)
  }

  function sweep (): void {
    const unreachable = [...waiting.values()].filter((ticket) => isDeadlineUnreachable(ticket, 1))
    for (const ticket of unreachable) refuseQueued(ticket, SlotRefusalReason.DEADLINE)
    dispatch()
  }

  function removeWaiting (holder: Holder, ticket: number): boolean {
    const queued = waiting.get(getKey(holder, ticket))
    if (queued === undefined) return false
    waiting.delete(getKey(holder, ticket))
    holder.tickets.delete(ticket)
    getQueue(queued).remove(queued)
    return true
  }

  function free (holder: Holder, ticket: number): void {
    const grant = removeGrant(holder, ticket)
    if (grant?.probe === true) ejection.cancelProbe()
    dispatch()
  }

  const scheduler: TargetScheduler = {
    targetId,
    acquire,
    withdraw: (holder, ticket) => {
      if (!removeWaiting(holder, ticket)) free(holder, ticket)
    },
    release: (holder, ticket, report) => {
      const grant = removeGrant(holder, ticket)
      if (grant !== undefined) recordOutcome(grant, report)
      dispatch()
    },
    adopt: (holder, ticket, isBatch) => {
      if (grants.has(getKey(holder, ticket))) return
      addGrant({ holder, ticket, batch: isBatch, grantedAt: clock.now(), revoked: false, probe: false })
      metrics.count('slots.adopted')
      preemptBatch()
    },
    dropWaiting: (holder) => {
      const own = [...waiting.values()].filter((ticket) => ticket.holder === holder)
      for (const ticket of own) removeWaiting(holder, ticket.ticket)
    },
    free,
    refuseWaiting: (reason) => {
      for (const ticket of [...waiting.values()]) refuseQueued(ticket, reason)
    },
    sweep,
    load: () => ({
      limit: getCapacity(),
      inUse: grants.size,
      batchInUse,
      waiting: live.size(),
      waitingBatch: batch.size(),
      ejectedMs: ejection.remainingMs(clock.now())
    }),
    isEmpty: () => grants.size === 0 && waiting.size === 0
  }
  return scheduler
}

function getKey (holder: Holder, ticket: number): string {
  return `${holder.id}/${ticket}`
}
