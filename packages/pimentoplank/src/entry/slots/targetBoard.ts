/** Grants the slots of one target: live before batch, within its limit, and only while it works. */
import { SlotRefusalReason, SlotResult, type Clock, type Metrics, type SlotHomeSettings } from '../../shared'
import { createDrain } from './drain'
import { createEjection } from './ejection'
import { createFairQueue, type FairQueue } from './fairQueue'
import type { Holder } from './holder'
import { createTargetLimit, type LimitGoals } from './limits'

/**
 * How much of a target an instance may grant.
 *
 * - `full`: it is the first home
 * - `partial`: it settles, or stands in for another home; live work within a share of the limit
 */
export type Authority = 'full' | 'partial'

export interface Ticket {
  holder: Holder
  ticket: number
  batch: boolean
  account: string
  weight: number
  /** On the home's monotonic clock, in milliseconds. */
  deadlineAt: number
  ignoreEjection: boolean
}

export interface Report {
  result: SlotResult
  /** 0 when there was none. */
  firstTokenMs: number
  tokenGapMs: number
}

export interface BoardLoad {
  limit: number
  inUse: number
  batchInUse: number
  waiting: number
  waitingBatch: number
  ejectedMs: number
}

export interface TargetBoardOptions {
  targetId: string
  settings: SlotHomeSettings
  clock: Clock
  metrics: Metrics
  goals: () => LimitGoals
  authority: () => Authority
  /** False when the target is leaving or gone. */
  isGrantable: () => boolean
  /** Bounds the learned limit, such as to a local share of it. */
  scaleLimit?: (limit: number) => number
}

export interface TargetBoard {
  readonly targetId: string
  acquire: (ticket: Ticket) => void
  /** Ends a ticket that is not wanted any more, waiting or granted. */
  withdraw: (holder: Holder, ticket: number) => void
  release: (holder: Holder, ticket: number, report: Report) => void
  /** Takes in a grant that a holder reports. */
  adopt: (holder: Holder, ticket: number, batch: boolean) => void
  /** Drops what a holder waits for, and keeps what it holds. */
  dropWaiting: (holder: Holder) => void
  /** Ends a grant whose holder is gone. */
  free: (holder: Holder, ticket: number) => void
  /** Refuses every waiting ticket. */
  refuseWaiting: (reason: SlotRefusalReason) => void
  /** Refuses what has become hopeless, and grants what has become free. */
  sweep: () => void
  load: () => BoardLoad
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

/** Creates the board of a target on which nothing runs. */
export function createTargetBoard (options: TargetBoardOptions): TargetBoard {
  const { settings, clock, metrics, targetId } = options
  const live: Queue = createFairQueue()
  const batch: Queue = createFairQueue()
  const waiting = new Map<string, Ticket>()
  const grants = new Map<string, Grant>()
  const limit = createTargetLimit(settings, options.goals)
  const ejection = createEjection(settings)
  const drain = createDrain(settings.initialRunMs)
  let batchInUse = 0
  let revoking = 0

  const queueOf = (ticket: Ticket): Queue => ticket.batch ? batch : live

  function fullLimit (): number {
    return options.scaleLimit?.(limit.current()) ?? limit.current()
  }

  function capacity (): number {
    const full = fullLimit()
    return options.authority() === 'full' ? full : Math.max(1, Math.floor(full * settings.partialShare))
  }

  function reserve (): number {
    return Math.min(settings.batchReserve, capacity() - 1)
  }

  /** Time until a ticket with so many ahead of it would start, in milliseconds. */
  function waitMs (ahead: number): number {
    const free = capacity() - (grants.size - batchInUse)
    const behind = ahead - free + 1
    return behind <= 0 ? 0 : behind * drain.meanRunMs() / capacity()
  }

  /** Whether the deadline is out of reach, with the estimated wait stretched by a margin. */
  function isHopeless (ticket: Ticket, margin: number): boolean {
    const wait = ticket.batch ? 0 : margin * waitMs(live.aheadOf(ticket))
    const needed = wait === 0 ? 0 : wait + drain.meanRunMs() * settings.runShare
    return clock.now() + needed >= ticket.deadlineAt
  }

  /** Time after which the queue of now has drained, in milliseconds. */
  function retryAfterMs (): number {
    return Math.max(settings.sweepMs, Math.ceil(waitMs(live.size())))
  }

  function refuse (ticket: Ticket, reason: SlotRefusalReason): void {
    metrics.count(`slots.refused.${SlotRefusalReason[reason].toLowerCase()}`)
    ticket.holder.tickets.delete(ticket.ticket)
    const wait = reason === SlotRefusalReason.EJECTED ? ejection.remainingMs(clock.now()) : retryAfterMs()
    ticket.holder.port?.refused(ticket.ticket, reason, wait, board)
  }

  function refuseQueued (ticket: Ticket, reason: SlotRefusalReason): void {
    queueOf(ticket).remove(ticket)
    waiting.delete(keyOf(ticket.holder, ticket.ticket))
    refuse(ticket, reason)
  }

  function mayRun (ticket: Ticket): boolean {
    return ticket.ignoreEjection || ejection.admission(clock.now()) !== 'closed'
  }

  /** Stretches the wait of a new ticket, so that few that may wait are refused later. */
  function marginOf (ticket: Ticket): number {
    return live.isOvertaken(ticket) ? settings.overtakenMargin : settings.waitMargin
  }

  /** Why a new ticket is turned away before it waits; undefined when it is not. */
  function objection (ticket: Ticket): SlotRefusalReason | undefined {
    // Batch work is not granted before the home has full authority; it goes on to another target meanwhile.
    if (ticket.batch && options.authority() !== 'full') return SlotRefusalReason.NOT_HOME
    if (!options.isGrantable()) return SlotRefusalReason.LEAVING
    if (!mayRun(ticket)) return SlotRefusalReason.EJECTED
    if (isHopeless(ticket, marginOf(ticket))) return SlotRefusalReason.DEADLINE
    return undefined
  }

  function acquire (ticket: Ticket): void {
    const reason = objection(ticket)
    if (reason !== undefined) {
      refuse(ticket, reason)
      return
    }
    if (!makeRoom(ticket)) {
      refuse(ticket, SlotRefusalReason.QUEUE_FULL)
      return
    }
    queueOf(ticket).add(ticket)
    waiting.set(keyOf(ticket.holder, ticket.ticket), ticket)
    ticket.holder.tickets.set(ticket.ticket, board)
    pump()
    if (waiting.has(keyOf(ticket.holder, ticket.ticket))) ticket.holder.port?.queued(ticket.ticket, board)
  }

  function makeRoom (ticket: Ticket): boolean {
    const queue = queueOf(ticket)
    const bound = ticket.batch ? settings.maxWaitingBatch : settings.maxWaiting
    if (queue.size() < bound || (!ticket.batch && grants.size < capacity())) return true
    const victim = queue.victimFor(ticket)
    if (victim === undefined) return false
    refuseQueued(victim, SlotRefusalReason.QUEUE_FULL)
    return true
  }

  function pump (): void {
    if (!options.isGrantable()) return
    while (live.size() > 0 && grants.size < capacity()) {
      if (!startNext(live)) break
    }
    while (mayStartBatch()) {
      if (!startNext(batch)) break
    }
    revokeExcess()
  }

  function mayStartBatch (): boolean {
    return options.authority() === 'full' && batch.size() > 0 &&
      grants.size < capacity() - reserve()
  }

  /** Grants a slot to the next ticket; false when the target's ejection forbids it. */
  function startNext (queue: Queue): boolean {
    const ticket = queue.take()
    if (ticket === undefined) return false
    waiting.delete(keyOf(ticket.holder, ticket.ticket))
    if (!mayRun(ticket)) {
      refuse(ticket, SlotRefusalReason.EJECTED)
      return true
    }
    start(ticket)
    return true
  }

  function start (ticket: Ticket): void {
    const probe = ejection.admission(clock.now()) === 'probe'
    if (probe) ejection.startProbe()
    const { holder, ticket: number, batch: isBatch } = ticket
    addGrant({ holder, ticket: number, batch: isBatch, grantedAt: clock.now(), revoked: false, probe })
    metrics.count(ticket.batch ? 'slots.granted.batch' : 'slots.granted.live')
    ticket.holder.port?.granted(ticket.ticket, board)
  }

  function addGrant (grant: Grant): void {
    grants.set(keyOf(grant.holder, grant.ticket), grant)
    grant.holder.tickets.set(grant.ticket, board)
    if (grant.batch) batchInUse += 1
    limit.noteInUse(grants.size)
  }

  function removeGrant (holder: Holder, ticket: number): Grant | undefined {
    const grant = grants.get(keyOf(holder, ticket))
    if (grant === undefined) return undefined
    grants.delete(keyOf(holder, ticket))
    holder.tickets.delete(ticket)
    if (grant.batch) batchInUse -= 1
    if (grant.revoked) revoking -= 1
    return grant
  }

  /** Takes back batch slots, the newest first, for live work that waits and for the reserve. */
  function revokeExcess (): void {
    let excess = live.size() + grants.size - revoking + reserve() - capacity()
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

  function learn (grant: Grant, report: Report): void {
    const now = clock.now()
    if (grant.probe) ejection.cancelProbe()
    if (report.result === SlotResult.DONE) {
      if (ejection.succeeded(grant.grantedAt)) metrics.count('slots.readmitted')
      if (!grant.batch) drain.report(now - grant.grantedAt)
    }
    if (FAILED_RESULTS.has(report.result)) learnFailure(grant, report)
    limit.report(report)
  }

  function learnFailure (grant: Grant, report: Report): void {
    const crashed = report.result === SlotResult.CRASHED
    if (!ejection.failed(clock.now(), { grantedAt: grant.grantedAt, crashed })) return
    metrics.count('slots.ejected')
    const barred = [...waiting.values()].filter((ticket) => !mayRun(ticket))
    for (const ticket of barred) refuseQueued(ticket, SlotRefusalReason.EJECTED)
  }

  function sweep (): void {
    const hopeless = [...waiting.values()].filter((ticket) => isHopeless(ticket, 1))
    for (const ticket of hopeless) refuseQueued(ticket, SlotRefusalReason.DEADLINE)
    pump()
  }

  function removeWaiting (holder: Holder, ticket: number): boolean {
    const found = waiting.get(keyOf(holder, ticket))
    if (found === undefined) return false
    waiting.delete(keyOf(holder, ticket))
    holder.tickets.delete(ticket)
    queueOf(found).remove(found)
    return true
  }

  function free (holder: Holder, ticket: number): void {
    const grant = removeGrant(holder, ticket)
    if (grant?.probe === true) ejection.cancelProbe()
    pump()
  }

  const board: TargetBoard = {
    targetId,
    acquire,
    withdraw: (holder, ticket) => {
      if (!removeWaiting(holder, ticket)) free(holder, ticket)
    },
    release: (holder, ticket, report) => {
      const grant = removeGrant(holder, ticket)
      if (grant !== undefined) learn(grant, report)
      pump()
    },
    adopt: (holder, ticket, isBatch) => {
      if (grants.has(keyOf(holder, ticket))) return
      addGrant({ holder, ticket, batch: isBatch, grantedAt: clock.now(), revoked: false, probe: false })
      metrics.count('slots.adopted')
      revokeExcess()
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
      limit: capacity(),
      inUse: grants.size,
      batchInUse,
      waiting: live.size(),
      waitingBatch: batch.size(),
      ejectedMs: ejection.remainingMs(clock.now())
    }),
    isEmpty: () => grants.size === 0 && waiting.size === 0
  }
  return board
}

function keyOf (holder: Holder, ticket: number): string {
  return `${holder.id}/${ticket}`
}
