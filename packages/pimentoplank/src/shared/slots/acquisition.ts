/** The task of one request for a slot: asks targets in turn until one grants, or none is left to ask. */
import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../clock'
import { RefusalError } from '../errors'
import type { Target } from '../membership'
import type { Metrics } from '../metrics'
import { SlotRefusalReason } from '../rpc'
import { createMailbox } from './mailbox'
import type { RoutingPlan } from './routing'
import type { TicketEvent, Tickets } from './tickets'
import type { SlotGrant, SlotRequest } from './types'

/** Refusals that say nothing about the load: further targets are asked all the same. */
const FREE_REFUSALS: ReadonlySet<SlotRefusalReason> = new Set([
  SlotRefusalReason.EJECTED, SlotRefusalReason.LEAVING, SlotRefusalReason.NOT_HOME
])
/** Questions in all for one request. */
const MAX_QUESTIONS = 12
/** When to come back where no home says better, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000
/** Longest time that a timer can wait, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

export interface AcquisitionOptions {
  req: SlotRequest
  /** Ends the request early. */
  signal?: AbortSignal
  /** Plans with what is known of the loads now. */
  plan: () => RoutingPlan
  tickets: Tickets
  clock: Clock
  metrics: Metrics
  /** Refusals for load that are taken before the request is refused. */
  maxLoadRefusals: number
}

type AcquisitionEvent = TicketEvent | { type: 'ended', reason: 'deadline' | 'aborted' }

/** Answers to the questions so far. */
interface Answers {
  /** Targets of the tickets that are open. */
  open: Map<number, Target>
  questions: number
  /** Targets of the plan that were asked. */
  planned: number
  loadRefusals: number
  /** Tickets that were told to wait. */
  queued: Set<number>
  retryAfterMs?: number
  reason: 'noTarget' | 'queueFull' | 'deadlineUnreachable'
}

/** Runs the task; a slot, or the refusal to pass on. */
export async function acquireSlot (options: AcquisitionOptions): Promise<Result<SlotGrant, RefusalError>> {
  const { req, signal, clock } = options
  const mailbox = createMailbox<AcquisitionEvent>()
  const finished = new AbortController()
  const answers = createAnswers()
  const onAbort = (): void => mailbox.post({ type: 'ended', reason: 'aborted' })
  if (signal?.aborted === true) onAbort()
  signal?.addEventListener('abort', onAbort, { once: true })
  clock.sleep(Math.min(req.deadlineMs, MAX_TIMER_MS), finished.signal)
    .then(() => mailbox.post({ type: 'ended', reason: 'deadline' }), () => undefined)

  const result = await askInTurn(options, answers, mailbox)

  finished.abort()
  signal?.removeEventListener('abort', onAbort)
  for (const ticket of answers.open.keys()) options.tickets.withdraw(ticket)
  return result
}

async function askInTurn (
  options: AcquisitionOptions,
  answers: Answers,
  mailbox: ReturnType<typeof createMailbox<AcquisitionEvent>>
): Promise<Result<SlotGrant, RefusalError>> {
  const { tickets, clock, metrics } = options
  const deadlineAt = clock.now() + options.req.deadlineMs
  let plan = options.plan()

  function askTarget (target: Target): boolean {
    if (answers.questions >= MAX_QUESTIONS) return false
    answers.questions += 1
    const deadlineMs = deadlineAt - clock.now()
    const ticket = tickets.ask({ target, req: options.req, deadlineMs, ignoreEjection: plan.ignoreEjection }, mailbox)
    if (ticket !== undefined) answers.open.set(ticket, target)
    return ticket !== undefined
  }

  function askNext (): void {
    while (answers.planned < plan.targets.length && answers.loadRefusals < options.maxLoadRefusals) {
      answers.planned += 1
      if (askTarget(plan.targets[answers.planned - 1]!)) return
    }
  }

  /** Plans once more when refusals have shown that too many targets are ejected to heed it. */
  function planAgain (): void {
    if (plan.ignoreEjection) return
    const next = options.plan()
    if (!next.ignoreEjection) return
    plan = next
    answers.planned = 0
    askNext()
  }

  for (let count = 0; count < plan.atOnce; count += 1) askNext()
  while (answers.open.size > 0) {
    const event = await mailbox.next()
    if (event.type === 'ended') return err(endedError(event.reason, answers))
    const target = answers.open.get(event.ticket)
    if (target === undefined) continue
    if (event.type === 'queued') {
      answers.queued.add(event.ticket)
      if (answers.open.size < plan.maxOpen) askNext()
      continue
    }
    answers.open.delete(event.ticket)
    if (event.type === 'granted') {
      const grant = tickets.grantOf(event.ticket)
      if (grant !== undefined) return ok(grant)
    }
    if (event.type === 'homeLost') metrics.retried('homeLost')
    if ((event.type === 'homeLost' || event.type === 'homeMoved') && askTarget(target)) continue
    if (event.type === 'refused') noteRefusal(answers, event)
    if (event.type === 'refused' && isHopeless(answers, event)) continue
    if (answers.open.size < plan.atOnce) askNext()
    if (answers.open.size === 0) planAgain()
  }
  return err(new RefusalError(answers.reason, { retryAfterMs: answers.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }))
}

function createAnswers (): Answers {
  return { open: new Map(), questions: 0, planned: 0, loadRefusals: 0, queued: new Set(), reason: 'noTarget' }
}

/** True when the request has spent its time in a queue: no further target is asked. */
function isHopeless (answers: Answers, event: Extract<TicketEvent, { type: 'refused' }>): boolean {
  return event.reason === SlotRefusalReason.DEADLINE && answers.queued.has(event.ticket)
}

function noteRefusal (answers: Answers, event: Extract<TicketEvent, { type: 'refused' }>): void {
  if (event.reason !== SlotRefusalReason.NOT_HOME) {
    answers.retryAfterMs = Math.min(answers.retryAfterMs ?? Infinity, event.retryAfterMs)
  }
  if (FREE_REFUSALS.has(event.reason)) return
  answers.loadRefusals += 1
  answers.reason = event.reason === SlotRefusalReason.QUEUE_FULL ? 'queueFull' : 'deadlineUnreachable'
}

function endedError (reason: 'deadline' | 'aborted', answers: Answers): RefusalError {
  if (reason === 'aborted') return new RefusalError('timeout', { detail: 'The request was given up while it waited.' })
  return new RefusalError('deadlineUnreachable', { retryAfterMs: answers.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS })
}
