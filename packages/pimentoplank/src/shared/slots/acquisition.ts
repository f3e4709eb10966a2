/** Acquires the slot of one request: tries targets in order until one grants a slot or none is left. */
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../clock'
import { RefusalError } from '../errors'
import type { Target } from '../membership'
import type { Metrics } from '../metrics'
import { SlotRefusalReason } from '../rpc'
import { createMailbox } from './mailbox'
import type { RoutingPlan } from './routing'
import type { TicketEvent, TicketRegistry } from './ticketRegistry'
import type { SlotGrant, SlotRequest } from './types'

/** Refusals that do not depend on load; they don't count towards `maxLoadRefusals`. */
const LOAD_INDEPENDENT_REFUSALS: ReadonlySet<SlotRefusalReason> = new Set([
  SlotRefusalReason.EJECTED, SlotRefusalReason.LEAVING, SlotRefusalReason.NOT_HOME
])
/** Upper bound of the tickets opened for one request. */
const MAX_ATTEMPTS = 12
/** Retry delay when no owner has suggested one, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000
/** Longest wait for an owner that can be asked, in milliseconds: a reading of the instance list and some. */
const MAX_OWNER_WAIT_MS = 2500
const OWNER_PAUSE_MS = 50
/** Longest delay of a Node timer, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

export interface AcquisitionOptions {
  req: SlotRequest
  /** Cancels the request. */
  signal?: AbortSignal
  /** Plans the route from the loads known at the time of the call. */
  plan: () => RoutingPlan
  tickets: TicketRegistry
  clock: Clock
  metrics: Metrics
  /** Refusals for load after which the request is refused. */
  maxLoadRefusals: number
}

type AcquisitionEvent = TicketEvent | { type: 'ended', reason: 'deadline' | 'aborted' }

/** Progress of the request. */
interface AcquisitionState {
  /** Targets of the open tickets, by ticket. */
  open: Map<number, Target>
  /** True once an owner was asked. */
  hasAskedOwner: boolean
  attempts: number
  /** Index of the next target of the plan to try. */
  nextIndex: number
  loadRefusals: number
  /** Tickets that an owner has queued. */
  queued: Set<number>
  retryAfterMs?: number
  reason: 'noTarget' | 'queueFull' | 'deadlineUnreachable'
}

/** Resolves with a slot, or with the refusal to return to the caller. Withdraws all other tickets of the request. */
export async function acquireSlot (options: AcquisitionOptions): Promise<Result<SlotGrant, RefusalError>> {
  const { req, signal, clock } = options
  const mailbox = createMailbox<AcquisitionEvent>()
  const finished = new AbortController()
  const state = createState()
  const onAbort = (): void => mailbox.post({ type: 'ended', reason: 'aborted' })
  if (signal?.aborted === true) onAbort()
  signal?.addEventListener('abort', onAbort, { once: true })
  clock.sleep(Math.min(req.deadlineMs, MAX_TIMER_MS), finished.signal)
    .then(() => mailbox.post({ type: 'ended', reason: 'deadline' }), () => undefined)

  const result = await tryTargets(options, state, mailbox)

  finished.abort()
  signal?.removeEventListener('abort', onAbort)
  for (const ticket of state.open.keys()) options.tickets.withdraw(ticket)
  return result
}

async function tryTargets (
  options: AcquisitionOptions,
  state: AcquisitionState,
  mailbox: ReturnType<typeof createMailbox<AcquisitionEvent>>
): Promise<Result<SlotGrant, RefusalError>> {
  const { tickets, clock, metrics } = options
  const deadlineAt = clock.now() + options.req.deadlineMs
  let plan = options.plan()

  function tryTarget (target: Target): boolean {
    if (state.attempts >= MAX_ATTEMPTS) return false
    state.attempts += 1
    const deadlineMs = deadlineAt - clock.now()
    const ticket = tickets.request({
      target, req: options.req, deadlineMs, ignoreEjection: plan.ignoreEjection
    }, mailbox)
    if (ticket === undefined) return false
    state.hasAskedOwner = true
    state.open.set(ticket, target)
    return true
  }

  function tryNext (): void {
    while (state.nextIndex < plan.targets.length && state.loadRefusals < options.maxLoadRefusals) {
      state.nextIndex += 1
      if (tryTarget(plan.targets[state.nextIndex - 1]!)) return
    }
  }

  /** Plans again once refusals have shown that so many targets are ejected that ejection must be ignored. */
  function replan (): void {
    if (plan.ignoreEjection) return
    const next = options.plan()
    if (!next.ignoreEjection) return
    plan = next
    state.nextIndex = 0
    tryNext()
  }

  function tryFirst (): void {
    for (let count = 0; count < plan.maxParallel; count += 1) tryNext()
  }

  /** Until the instances have found each other, targets are known whose owners can't be asked yet. */
  async function waitForOwner (): Promise<void> {
    const until = Math.min(deadlineAt, clock.now() + MAX_OWNER_WAIT_MS)
    while (!state.hasAskedOwner && plan.targets.length > 0 && clock.now() < until && options.signal?.aborted !== true) {
      await clock.sleep(OWNER_PAUSE_MS, options.signal)
      plan = options.plan()
      Object.assign(state, { attempts: 0, nextIndex: 0 })
      tryFirst()
    }
  }

  tryFirst()
  await waitForOwner()
  while (state.open.size > 0) {
    const event = await mailbox.next()
    if (event.type === 'ended') return err(createEndedError(event.reason, state))
    const target = state.open.get(event.ticket)
    if (target === undefined) continue
    if (event.type === 'queued') {
      state.queued.add(event.ticket)
      if (state.open.size < plan.maxOpenTickets) tryNext()
      continue
    }
    state.open.delete(event.ticket)
    if (event.type === 'granted') {
      const grant = tickets.getGrant(event.ticket)
      if (grant !== undefined) return ok(grant)
    }
    if (event.type === 'homeLost') metrics.countRetry('homeLost')
    if ((event.type === 'homeLost' || event.type === 'homeMoved') && tryTarget(target)) continue
    if (event.type === 'refused') recordRefusal(state, event)
    if (event.type === 'refused' && hasExpiredInQueue(state, event)) continue
    if (state.open.size < plan.maxParallel) tryNext()
    if (state.open.size === 0) replan()
  }
  return err(new RefusalError(state.reason, { retryAfterMs: state.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }))
}

function createState (): AcquisitionState {
  return {
    open: new Map(),
    hasAskedOwner: false,
    attempts: 0,
    nextIndex: 0,
    loadRefusals: 0,
    queued: new Set(),
    reason: 'noTarget'
  }
}

/** Whether the request has used up its time in a queue, so that trying another target is pointless. */
function hasExpiredInQueue (state: AcquisitionState, event: Extract<TicketEvent, { type: 'refused' }>): boolean {
  return event.reason === SlotRefusalReason.DEADLINE && state.queued.has(event.ticket)
}

function recordRefusal (state: AcquisitionState, event: Extract<TicketEvent, { type: 'refused' }>): void {
  if (event.reason !== SlotRefusalReason.NOT_HOME) {
    state.retryAfterMs = Math.min(state.retryAfterMs ?? Infinity, event.retryAfterMs)
  }
  if (LOAD_INDEPENDENT_REFUSALS.has(event.reason)) return
  state.loadRefusals += 1
  state.reason = event.reason === SlotRefusalReason.QUEUE_FULL ? 'queueFull' : 'deadlineUnreachable'
}

function createEndedError (reason: 'deadline' | 'aborted', state: AcquisitionState): RefusalError {
  if (reason === 'aborted') return new RefusalError('timeout', { detail: 'The request was given up while it waited.' })
  return new RefusalError('deadlineUnreachable', { retryAfterMs: state.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS })
}
