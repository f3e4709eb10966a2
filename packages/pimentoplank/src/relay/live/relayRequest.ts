/** Relays one live request to a target, and retries it at another where that is safe. */
import { describeCause, MIB_BYTES, RefusalError, type Clock, type Log, type Metrics } from '../../shared'
import { isRepeatable, canRetry } from '../decisions'
import {
  createEventReader, SendFailure,
  type AnswerEnding, type EventReader, type Exchange, type SendFailureReason, type TargetAnswer
} from '../exchange'
import type { LoadView } from '../load'
import type { AnswerHead, CallerRequest, Route } from '../model'
import type { CallerReply } from './callerReply'
import type { CrashTracker } from './crashTracker'
import type { Slot, SlotScheduler } from './slotScheduler'
import type { SilenceDetector } from './silenceDetector'

export interface LiveCall {
  request: CallerRequest
  route: Route
  service: string
  /** When the request was received completely, on the monotonic clock. */
  arrivedAt: number
  /** True when the caller was refused before and retries. */
  isReturning: boolean
  /** True for a request that tests whether the parts of its prompt still crash targets; it is not retried. */
  isProbe: boolean
  reply: CallerReply
}

export interface RelayRules {
  /**
   * Timeout for the first event of a stream, after which a resumable stream moves to another target, as a share of the
   * target latency.
   */
  firstEventShare: number
  /** The same between events, as a share of the target gap. */
  gapShare: number
}

export interface RelayDeps {
  slotScheduler: SlotScheduler
  exchange: Exchange
  loads: LoadView
  silenceDetector: SilenceDetector
  crashes: CrashTracker
  rules: RelayRules
  clock: Clock
  metrics: Metrics
  log: Log
}

/** State of a request across its attempts. */
interface Progress {
  runs: number
  refusals: number
  /** Id of the last event that was sent to the caller. */
  lastEventId: number | undefined
  excluded: Set<string>
  /** How the last response ended; undefined if there was none. */
  ending?: AnswerEnding & { events: number, partialEventBytes: number }
}

/** Outcome of one attempt. */
type AttemptEnd = { type: 'done' } | { type: 'gone' } | { type: 'failed', failure: SendFailure }

function failed (reason: SendFailureReason, detail: string): AttemptEnd {
  return { type: 'failed', failure: new SendFailure(reason, true, detail) }
}

const STATUS_SERVER_ERROR = 500
/** A request that crashes its target does so as it begins to run, before this many events. */
export const BEGINNING_EVENTS = 2
/** Failures that count against the target itself. */
const TARGET_FAULTS: ReadonlySet<SendFailureReason> = new Set(['connectFailed', 'refused', 'broken', 'spoiled'])
/** Maximum size of a plain response that is buffered, so that it can be retried, in bytes. */
const MAX_BUFFERED_BYTES = MIB_BYTES
/** Used for requests without a deadline: the longest delay that Node's timers accept, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Relays a request; resolves when its response has ended. */
export async function relayRequest (call: LiveCall, deps: RelayDeps): Promise<void> {
  const { request, route, reply, arrivedAt } = call
  const { clock, log, metrics } = deps
  const endAt = arrivedAt + Math.min(request.deadlineMs ?? MAX_TIMER_MS, route.timeoutMs)
  const over = new AbortController()
  const timer = setTimeout(() => over.abort(), Math.max(0, endAt - clock.now()))
  const ended = AbortSignal.any([over.signal, reply.disconnected])
  const progress: Progress = { runs: 0, refusals: 0, lastEventId: request.lastEventId, excluded: new Set() }

  try {
    for (;;) {
      const acquired = await deps.slotScheduler.acquire({
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
      if (reply.disconnected.aborted) {
        if (acquired.isOk()) acquired.value.release()
        return logEnd('callerGone')
      }
      if (acquired.isErr()) return failRequest(acquired.error)
      const slot = acquired.value
      // Targets may have crashed on such a request while this one waited or ran elsewhere.
      const isFirstTry = progress.runs + progress.refusals === 0
      if (!(call.isProbe && isFirstTry) && deps.crashes.isRefused(request)) {
        slot.release()
        return failRequest(new RefusalError('quarantined', { outcome: progress.runs > 0 ? 'failed' : 'not_run' }))
      }
      const end = await attemptTarget(call, slot, progress, endAt, ended, deps)
      slot.release()
      if (end.type === 'done') return logEnd('done')
      if (end.type === 'gone') return logEnd('callerGone')
      const { failure } = end
      log.info({
        req: request.id,
        target: slot.target.id,
        reason: failure.reason,
        mayHaveRun: failure.mayHaveRun,
        detail: failure.message,
        ...progress.ending
      }, 'try failed')
      progress.excluded.add(slot.target.id)
      if (failure.mayHaveRun) progress.runs += 1
      else progress.refusals += 1
      const state = { ...progress, leftMs: endAt - clock.now() }
      if (over.signal.aborted || !canRetry(route, failure, state)) {
        return failRequest(toRefusal(failure, over.signal.aborted))
      }
      metrics.countRetry(failure.reason === 'refused' ? 'targetBusy' : 'streamCut')
    }
  } finally {
    clearTimeout(timer)
  }

  function toRefusal (failure: SendFailure, isTimeout: boolean): RefusalError {
    const outcome = progress.runs > 0 ? 'failed' : 'not_run'
    if (isTimeout) return new RefusalError('timeout', { outcome, cause: failure })
    return new RefusalError(progress.runs > 0 ? 'targetFailed' : 'noTarget', { outcome, cause: failure })
  }

  function failRequest (refusal: RefusalError): void {
    const outcome = progress.runs > 0 ? 'failed' : refusal.outcome
    const last = outcome === refusal.outcome
      ? refusal
      : new RefusalError(refusal.reason, { outcome, detail: refusal.message, cause: refusal })
    metrics.countRefusal(last.reason)
    const cut = reply.hasStarted()
    if (cut) reply.truncate()
    else reply.refuse(last)
    logEnd('failed', { reason: last.reason, ran: outcome, cut })
  }

  function logEnd (outcome: string, fields: object = {}): void {
    const ms = Math.round(clock.now() - arrivedAt)
    metrics.timing('live.total', ms)
    log.info({ req: request.id, route: route.name, outcome, ms, runs: progress.runs, ...progress.ending, ...fields }, 'request ended')
  }
}

async function attemptTarget (
  call: LiveCall,
  slot: Slot,
  progress: Progress,
  endAt: number,
  ended: AbortSignal,
  deps: RelayDeps
): Promise<AttemptEnd> {
  const { request, route } = call
  const { clock, silenceDetector } = deps
  const silence = new AbortController()
  const canMove = isRepeatable(route) && progress.runs + 1 < route.maxAttempts
  const isMovable = route.kind === 'stream' && canMove
  const watch = silenceDetector.watch(slot.target.id, {
    firstMs: route.targetLatencyMs *
      ((isMovable ? deps.rules.firstEventShare : 1) + (slot.placement === 'queue' ? 1 : 0)),
    gapMs: route.targetGapMs * (isMovable ? deps.rules.gapShare : 1),
    onSilent: (isCertain) => {
      if (isCertain) deps.loads.recordFailure(slot.target.id, 'silent')
      if (isMovable) silence.abort()
    }
  })
  const sentAt = clock.now()
  let events = 0
  progress.ending = undefined
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
    if (answer.isErr()) return toAttemptEnd(answer.error)
    if (answer.value.head.status < STATUS_SERVER_ERROR) deps.loads.recordSuccess(slot.target.id, sentAt)
    if (answer.value.head.load !== undefined) deps.loads.recordReportedLoad(slot.target.id, answer.value.head.load)
    const reader = createEventReader(answer.value)
    const end = await forwardAnswer(answer.value, reader)
    progress.ending = { ...answer.value.getEnding(), ...reader.getCounts() }
    answer.value.close()
    return end
  } finally {
    watch.stop()
  }

  function toAttemptEnd (failure: SendFailure): AttemptEnd {
    if (call.reply.disconnected.aborted) return { type: 'gone' }
    if (silence.signal.aborted) return failed('broken', 'the target sent no bytes within its timeout')
    recordCrashEvidence(failure)
    if (TARGET_FAULTS.has(failure.reason)) deps.loads.recordFailure(slot.target.id, failure.reason)
    return { type: 'failed', failure }
  }

  function recordCrashEvidence ({ reason }: SendFailure): void {
    const { crashes } = deps
    if (reason === 'connectFailed') crashes.recordUnreachable(slot.target.id)
    if (reason === 'staleConnection') crashes.recordPossibleCrash(slot.target.id, request)
    if (reason === 'broken' && events < BEGINNING_EVENTS) crashes.recordCrash(slot.target.id, request)
  }

  async function forwardAnswer (answer: TargetAnswer, reader: EventReader): Promise<AttemptEnd> {
    const { head } = answer
    const isSuccess = head.status >= 200 && head.status < 300
    if (isSuccess && !head.isSigned) return toAttemptEnd(new SendFailure('spoiled', true, 'unsigned success'))
    if (head.status >= STATUS_SERVER_ERROR) {
      deps.loads.recordFailure(slot.target.id, 'serverError')
      if (canMove) return failed('broken', `the target answered with status ${head.status}`)
    }
    if (!isSuccess && call.reply.hasStarted()) return failed('broken', `the target answered with status ${head.status}`)
    return route.kind === 'stream' && isSuccess ? await forwardEvents(answer, reader) : await forwardBody(answer)
  }

  async function forwardBody (answer: TargetAnswer): Promise<AttemptEnd> {
    const { head } = answer
    const buffered: Uint8Array[] = []
    let isBuffered = isRepeatable(route)
    for (;;) {
      const next = await answer.read()
      if (next.isErr()) return toAttemptEnd(next.error)
      watch.recordBytes()
      if (next.value === undefined) break
      if (!isBuffered) await writeBytes(head, next.value)
      else buffered.push(next.value)
      // A long body is passed on as it comes; it is not worth the memory that a retry would need.
      if (isBuffered && answer.getEnding().bytes > MAX_BUFFERED_BYTES) {
        isBuffered = false
        for (const chunk of buffered.splice(0)) await writeBytes(head, chunk)
      }
    }
    deps.crashes.recordAnswer(request.headers)
    for (const chunk of buffered) await writeBytes(head, chunk)
    if (!call.reply.hasStarted()) call.reply.begin(head.status, head.headers)
    call.reply.end()
    return { type: 'done' }
  }

  async function forwardEvents (answer: TargetAnswer, reader: EventReader): Promise<AttemptEnd> {
    for (;;) {
      const next = await reader.read()
      if (next.isErr()) return toAttemptEnd(next.error)
      if (next.value === undefined) break
      for (const event of next.value) {
        if (isRepeat(event.id)) continue
        if (isGap(event.id)) {
          return toAttemptEnd(new SendFailure(
            'spoiled', true, `event gap: got event ${event.id} after event ${progress.lastEventId}`
          ))
        }
        // Bytes without new events are no sign of life; they may have no end.
        watch.recordBytes()
        events += 1
        if (events === BEGINNING_EVENTS) deps.crashes.recordAnswer(request.headers)
        await writeEvent(answer, event.bytes)
        progress.lastEventId = event.id ?? progress.lastEventId
      }
    }
    if (!call.reply.hasStarted()) call.reply.begin(answer.head.status, answer.head.headers)
    call.reply.end()
    return { type: 'done' }
  }

  function isRepeat (id: number | undefined): boolean {
    return id !== undefined && progress.lastEventId !== undefined && id <= progress.lastEventId
  }

  function isGap (id: number | undefined): boolean {
    return id !== undefined && progress.lastEventId !== undefined && id > progress.lastEventId + 1
  }

  async function writeEvent (answer: TargetAnswer, bytes: Uint8Array): Promise<void> {
    if (!call.reply.hasStarted()) deps.metrics.timing('live.firstEvent', clock.now() - call.arrivedAt)
    await writeBytes(answer.head, bytes)
  }

  /** Begins the response with its first bytes, so that a request that fails before them can still be refused. */
  async function writeBytes (head: AnswerHead, bytes: Uint8Array): Promise<void> {
    if (!call.reply.hasStarted()) call.reply.begin(head.status, head.headers)
    await call.reply.write(bytes)
  }
}

/** Logs an unexpected error while relaying a request, and refuses the request or cuts its connection. */
export function handleUnexpectedError (cause: unknown, call: LiveCall, log: Log): void {
  log.error({ req: call.request.id, cause: describeCause(cause) }, 'relay failed')
  if (call.reply.hasStarted()) call.reply.truncate()
  else call.reply.refuse(new RefusalError('targetFailed', { outcome: 'unknown', cause }))
}
