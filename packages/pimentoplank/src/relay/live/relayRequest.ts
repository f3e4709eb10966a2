/** Relays one live request: a target, a try, and another where that is safe. */
import { describeCause, RefusalError, type Clock, type Log, type Metrics } from '../../shared'
import { isRepeatable, mayTryAgain } from '../decisions'
import { createEventSplitter, SendFailure, type Exchange, type SendFailureReason, type TargetAnswer } from '../exchange'
import type { LoadView } from '../load'
import type { CallerRequest, Route } from '../model'
import type { CallerReply } from './callerReply'
import type { CrashLedger } from './crashLedger'
import type { Slot, SlotDesk } from './slotDesk'
import type { TargetActivity } from './targetActivity'

export interface LiveCall {
  request: CallerRequest
  route: Route
  service: string
  /** When the whole request was there, on the monotonic clock. */
  arrivedAt: number
  isReturning: boolean
  reply: CallerReply
}

export interface RelayRules {
  /**
   * Silence of a target before the first event after which a stream that may be resumed goes elsewhere, as a share of
   * the target latency.
   */
  firstEventShare: number
  /** Silence between events after which it does, as a share of the target gap. */
  gapShare: number
}

export interface RelayDeps {
  desk: SlotDesk
  exchange: Exchange
  loads: LoadView
  activity: TargetActivity
  crashes: CrashLedger
  rules: RelayRules
  clock: Clock
  metrics: Metrics
  log: Log
}

/** Where a request stands over its tries. */
interface Progress {
  runs: number
  refusals: number
  /** Last event that the caller has. */
  lastEventId: number | undefined
  excluded: Set<string>
}

/** How a try ended. */
type TryEnd = { type: 'done' } | { type: 'gone' } | { type: 'failed', failure: SendFailure }

function failed (reason: SendFailureReason, detail: string): TryEnd {
  return { type: 'failed', failure: new SendFailure(reason, true, detail) }
}

const STATUS_SERVER_ERROR = 500
/** A request that takes its target down does so as it begins to run, before this many events. */
const BEGINNING_EVENTS = 2
/** Failures that speak against the target itself. */
const TARGET_FAULTS: ReadonlySet<SendFailureReason> = new Set(['connectFailed', 'refused', 'broken', 'spoiled'])
/** A timer for all requests would be longer than any deadline; this is Node's limit, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Relays a request; resolves when its answer is over. */
export async function relayRequest (call: LiveCall, deps: RelayDeps): Promise<void> {
  const { request, route, reply, arrivedAt } = call
  const { clock, log, metrics } = deps
  const endAt = arrivedAt + Math.min(request.deadlineMs ?? MAX_TIMER_MS, route.timeoutMs)
  const over = new AbortController()
  const timer = setTimeout(() => over.abort(), Math.max(0, endAt - clock.now()))
  const ended = AbortSignal.any([over.signal, reply.gone])
  const progress: Progress = { runs: 0, refusals: 0, lastEventId: request.lastEventId, excluded: new Set() }

  try {
    for (;;) {
      const acquired = await deps.desk.acquire({
        requestId: request.id,
        route,
        service: call.service,
        arrivedAt,
        endAt,
        isReturning: call.isReturning,
        isRepeatable: isRepeatable(route),
        excluded: progress.excluded,
        signal: ended
      })
      if (reply.gone.aborted) {
        if (acquired.isOk()) acquired.value.release()
        return logEnd('callerGone')
      }
      if (acquired.isErr()) return giveUp(acquired.error)
      const slot = acquired.value
      const end = await tryTarget(call, slot, progress, endAt, ended, deps)
      slot.release()
      if (end.type === 'done') return logEnd('done')
      if (end.type === 'gone') return logEnd('callerGone')
      const { failure } = end
      log.info({
        req: request.id,
        target: slot.target.id,
        reason: failure.reason,
        mayHaveRun: failure.mayHaveRun,
        detail: failure.message
      }, 'try failed')
      progress.excluded.add(slot.target.id)
      if (failure.mayHaveRun) progress.runs += 1
      else progress.refusals += 1
      const state = { ...progress, leftMs: endAt - clock.now() }
      if (over.signal.aborted || !mayTryAgain(route, failure, state)) {
        return giveUp(refusalOf(failure, over.signal.aborted))
      }
      metrics.retried(failure.reason === 'refused' ? 'targetBusy' : 'streamCut')
    }
  } finally {
    clearTimeout(timer)
  }

  function refusalOf (failure: SendFailure, isOver: boolean): RefusalError {
    const outcome = progress.runs > 0 ? 'failed' : 'not_run'
    if (isOver) return new RefusalError('timeout', { outcome, cause: failure })
    return new RefusalError(progress.runs > 0 ? 'targetFailed' : 'noTarget', { outcome, cause: failure })
  }

  function giveUp (refusal: RefusalError): void {
    const outcome = progress.runs > 0 ? 'failed' : refusal.outcome
    const last = outcome === refusal.outcome
      ? refusal
      : new RefusalError(refusal.reason, { outcome, detail: refusal.message, cause: refusal })
    metrics.refused(last.reason)
    const cut = reply.isBegun()
    if (cut) reply.cut()
    else reply.refuse(last)
    logEnd('failed', { reason: last.reason, ran: outcome, cut })
  }

  function logEnd (outcome: string, fields: object = {}): void {
    const ms = Math.round(clock.now() - arrivedAt)
    metrics.timing('live.total', ms)
    log.info({ req: request.id, route: route.name, outcome, ms, runs: progress.runs, ...fields }, 'request ended')
  }
}

async function tryTarget (
  call: LiveCall,
  slot: Slot,
  progress: Progress,
  endAt: number,
  ended: AbortSignal,
  deps: RelayDeps
): Promise<TryEnd> {
  const { request, route } = call
  const { clock, activity } = deps
  const silence = new AbortController()
  const canMove = isRepeatable(route) && progress.runs + 1 < route.maxAttempts
  const isMovable = route.kind === 'stream' && canMove
  const watch = activity.watch(slot.target.id, {
    firstMs: route.targetLatencyMs * ((isMovable ? deps.rules.firstEventShare : 1) + (slot.placement === 'queue' ? 1 : 0)),
    gapMs: route.targetGapMs * (isMovable ? deps.rules.gapShare : 1),
    onSilent: (isCertain) => {
      if (isCertain) deps.loads.noteFailure(slot.target.id, 'silent')
      if (isMovable) silence.abort()
    }
  })
  const sentAt = clock.now()
  let events = 0
  deps.log.info({
    req: request.id,
    target: slot.target.id,
    placement: slot.placement,
    ...slot.load,
    waitedMs: Math.round(clock.now() - call.arrivedAt)
  }, 'sent')
  try {
    const answer = await deps.exchange.send({
      request,
      target: slot.target,
      deadlineMs: Math.max(1, Math.round(endAt - clock.now())),
      lastEventId: progress.lastEventId
    }, AbortSignal.any([ended, silence.signal]))
    if (answer.isErr()) return endOf(answer.error)
    if (answer.value.head.status < STATUS_SERVER_ERROR) deps.loads.noteSuccess(slot.target.id, sentAt)
    if (answer.value.head.load !== undefined) deps.loads.noteReported(slot.target.id, answer.value.head.load)
    const end = await passOn(answer.value)
    answer.value.close()
    return end
  } finally {
    watch.stop()
  }

  function endOf (failure: SendFailure): TryEnd {
    if (call.reply.gone.aborted) return { type: 'gone' }
    if (silence.signal.aborted) return failed('broken', 'the target went silent')
    if (failure.reason === 'broken' && events < BEGINNING_EVENTS) deps.crashes.noteBroken(slot.target.id, request)
    if (TARGET_FAULTS.has(failure.reason)) deps.loads.noteFailure(slot.target.id, failure.reason)
    return { type: 'failed', failure }
  }

  async function passOn (answer: TargetAnswer): Promise<TryEnd> {
    const { head } = answer
    const isSuccess = head.status >= 200 && head.status < 300
    if (isSuccess && !head.isSigned) return endOf(new SendFailure('spoiled', true, 'a success without proof'))
    if (head.status >= STATUS_SERVER_ERROR) {
      deps.loads.noteFailure(slot.target.id, 'serverError')
      if (canMove) return failed('broken', `status ${head.status}`)
    }
    if (!isSuccess && call.reply.isBegun()) return failed('broken', `status ${head.status}`)
    return route.kind === 'stream' && isSuccess ? await passEvents(answer) : await passBody(answer)
  }

  async function passBody (answer: TargetAnswer): Promise<TryEnd> {
    const { head } = answer
    const isHeld = isRepeatable(route)
    const held: Uint8Array[] = []
    if (!isHeld) call.reply.begin(head.status, head.headers)
    for (;;) {
      const next = await answer.read()
      if (next.isErr()) return endOf(next.error)
      watch.note()
      if (next.value === undefined) break
      if (isHeld) held.push(next.value)
      else await call.reply.write(next.value)
    }
    if (isHeld) call.reply.begin(head.status, head.headers)
    for (const chunk of held) await call.reply.write(chunk)
    call.reply.end()
    return { type: 'done' }
  }

  async function passEvents (answer: TargetAnswer): Promise<TryEnd> {
    const splitter = createEventSplitter()
    for (;;) {
      const next = await answer.read()
      if (next.isErr()) return endOf(next.error)
      if (next.value === undefined) break
      watch.note()
      for (const event of splitter.push(next.value)) {
        if (isRepeat(event.id)) continue
        if (isGap(event.id)) {
          return endOf(new SendFailure('spoiled', true, `event ${event.id} follows ${progress.lastEventId}`))
        }
        events += 1
        await passBytes(answer, event.bytes)
        progress.lastEventId = event.id ?? progress.lastEventId
      }
    }
    const rest = splitter.rest()
    if (rest.length > 0) await passBytes(answer, rest)
    if (!call.reply.isBegun()) call.reply.begin(answer.head.status, answer.head.headers)
    call.reply.end()
    return { type: 'done' }
  }

  function isRepeat (id: number | undefined): boolean {
    return id !== undefined && progress.lastEventId !== undefined && id <= progress.lastEventId
  }

  function isGap (id: number | undefined): boolean {
    return id !== undefined && progress.lastEventId !== undefined && id > progress.lastEventId + 1
  }

  async function passBytes (answer: TargetAnswer, bytes: Uint8Array): Promise<void> {
    if (!call.reply.isBegun()) {
      deps.metrics.timing('live.firstEvent', clock.now() - call.arrivedAt)
      call.reply.begin(answer.head.status, answer.head.headers)
    }
    await call.reply.write(bytes)
  }
}

/** Logs a request that failed for a fault of this program. */
export function noteUnexpected (cause: unknown, call: LiveCall, log: Log): void {
  log.error({ req: call.request.id, cause: describeCause(cause) }, 'relay failed')
  if (call.reply.isBegun()) call.reply.cut()
  else call.reply.refuse(new RefusalError('targetFailed', { outcome: 'unknown', cause }))
}
