/** Sends a live request to one target and forwards the answer to its caller. */
import type { Result } from 'neverthrow'
import { MIB_BYTES, type RefusalError } from '../../shared'
import {
  addLiveOpenEnd, EMPTY_END_GAP_MS, hasOrderlyEnd, isEndProven, isRepeatable, MAX_REST_REFUSALS, MIN_TRY_MS,
  type LiveOpenEnds
} from '../decisions'
import { createEventReader, SendFailure, type EventReader, type SendFailureReason, type TargetAnswer } from '../exchange'
import type { FaultKind } from '../load'
import type { AnswerHead, ProcessNeed } from '../model'
import type { LiveCall, Progress, RelayDeps } from './liveCall'
import type { Slot, SlotQuery } from './slotScheduler'
import { createSlotSearch } from './slotSearch'

/** Outcome of one attempt. */
export type AttemptEnd =
  | { type: 'done' }
  | { type: 'gone' }
  | FailedAttempt

export interface FailedAttempt {
  type: 'failed'
  failure: SendFailure
  /** Held if the run was given up for another target. */
  nextSlot?: Slot
}

export interface AttemptOptions {
  call: LiveCall
  slot: Slot
  progress: Progress
  /** True for a request that probes whether its prompt still crashes targets. */
  isProbe: boolean
  /** Deadline of the request, on the monotonic clock. */
  endAt: number
  /** Aborts at the deadline, and when the caller disconnects. */
  ended: AbortSignal
  /** Creates the query with which the request is placed at another target. */
  createQuery: (signal: AbortSignal) => Result<SlotQuery, RefusalError>
}

function isSuccess ({ status }: AnswerHead): boolean {
  return status >= 200 && status < 300
}

function failed (reason: SendFailureReason, detail: string): AttemptEnd {
  return { type: 'failed', failure: new SendFailure(reason, true, detail) }
}

const STATUS_OK = 200
const STATUS_SERVER_ERROR = 500
/** Ends after which the target is asked whether more events follow. */
const OPEN_ENDS: ReadonlySet<SendFailureReason> = new Set(['openEnd', 'emptyEnd'])
/** Of a stream that goes on. */
const NO_OPEN_ENDS: LiveOpenEnds = { openEnds: 0, emptyAt: undefined, isRestReset: undefined }
/** Pause after a target has refused to tell what follows, in milliseconds. */
const REFUSED_PAUSE_MS = 100
/** A request that crashes its target does so as it begins to run, before this many events. */
export const BEGINNING_EVENTS = 2
/** Failures that count against the target, unless its path is at fault; those of peers don't. */
const FAULT_KINDS: Partial<Record<SendFailureReason, FaultKind>> = {
  connectFailed: 'connect', refused: 'target', broken: 'cut', endedEarly: 'cut', spoiled: 'target'
}
/** Maximum size of a plain response that is buffered, so that it can be retried, in bytes. */
const MAX_BUFFERED_BYTES = MIB_BYTES

/** Sends a request to the target of a slot; resolves when its run there has ended. */
export async function attemptTarget (options: AttemptOptions, deps: RelayDeps): Promise<AttemptEnd> {
  const { call, slot, progress, isProbe, endAt, ended } = options
  const { request, route } = call
  const { clock, silenceDetector } = deps
  const search = createSlotSearch({
    slotScheduler: deps.slotScheduler,
    targetId: slot.target.id,
    createQuery: options.createQuery,
    mayMove: () => endAt - clock.now() >= MIN_TRY_MS && !deps.crashes.isRefused(request),
    clock,
    ended,
    log: deps.log
  })
  const canMove = isRepeatable(route) && progress.runs + 1 < route.maxAttempts
  const isMovable = route.kind === 'stream' && canMove
  const isResumable = route.kind === 'stream' && route.isResumable
  const watch = silenceDetector.watch(slot.target.id, {
    firstMs: route.targetLatencyMs *
      ((isMovable ? deps.rules.firstEventShare : 1) + (slot.placement === 'queue' ? 1 : 0)),
    gapMs: route.targetGapMs * (isMovable ? deps.rules.gapShare : 1),
    onSilent: ({ isCertain, isNew }) => {
      // A sound target may be silent for a moment, which counts once, however many requests run there.
      if (isCertain && isNew) {
        deps.paths.recordSilent(slot.target.address)
        deps.loads.recordFailure(slot.target.id, 'silent', 'silence')
        silentSince = clock.now()
      }
      if (isMovable) search.start()
    }
  })
  const removeLostListener = deps.paths.onLost(() => setImmediate(leaveHangingConnection))
  const sentAt = clock.now()
  /** When this request reported the target as silent; undefined once the target has gone on. */
  let silentSince: number | undefined
  /** When the process that gets the request started, by its own clock. */
  let processStartedAt: number | undefined
  let events = 0
  /** Of the latest answer; undefined before the first. */
  let head: AnswerHead | undefined
  let isOver = false
  progress.ending = undefined
  deps.log.info({
    req: request.id,
    target: slot.target.id,
    placement: slot.placement,
    ...slot.load,
    waitedMs: Math.round(clock.now() - call.arrivedAt)
  }, 'sent')
  try {
    return await streamToItsEnd()
  } finally {
    isOver = true
    removeLostListener()
    watch.stop()
    search.stop()
    search.takeSlot()?.discard()
  }

  /** The end of an unframed stream may not be the last one: what follows is asked for in the same slot. */
  async function streamToItsEnd (): Promise<AttemptEnd> {
    for (let refusals = 0; ;) {
      const end = await exchangeWithTarget()
      if (end.type !== 'failed') return end
      const { reason, mayHaveRun, message } = end.failure
      Object.assign(progress, addLiveOpenEnd(progress, reason, slot.target.id, clock.now()))
      if (isEndProven(progress) && head !== undefined) return endReply(head)
      const isRefused = reason === 'refused' && head !== undefined
      if (isRefused) refusals += 1
      const mayAsk = (isRefused && refusals <= MAX_REST_REFUSALS) || OPEN_ENDS.has(reason)
      if (!mayAsk || !hasOrderlyEnd(progress) || !mayAskForRest()) {
        // The target has run the request, if not for what follows.
        return mayHaveRun || head === undefined ? end : { ...end, failure: new SendFailure('noRest', true, message) }
      }
      if (isRefused) await clock.sleep(REFUSED_PAUSE_MS, ended)
      else if (progress.isRestReset === true) await pauseBeforeSecondAnswer()
    }
  }

  /** After a reset, a target that ends each answer after its head must not prove the end by itself. */
  async function pauseBeforeSecondAnswer (): Promise<void> {
    watch.hold()
    await clock.sleep(EMPTY_END_GAP_MS, ended)
    watch.recordBytes()
  }

  /** Only the process that wrote the events may tell what follows, and only while it takes requests. */
  function mayAskForRest (): boolean {
    if (ended.aborted || endAt - clock.now() < MIN_TRY_MS || deps.crashes.isRefused(request)) return false
    const load = deps.loads.getLoad(slot.target.id)
    return slot.target.startedAt !== undefined && load !== undefined && !load.isLeaving && !load.isOutdated
  }

  async function exchangeWithTarget (): Promise<AttemptEnd> {
    const answer = await deps.exchange.send({
      request,
      target: slot.target,
      deadlineMs: Math.max(1, Math.round(endAt - clock.now())),
      lastEventId: progress.lastEventId,
      // Targets may have crashed on such a request while this one waited for a connection.
      mayStillSend: () => isProbe || !deps.crashes.isRefused(request)
    }, AbortSignal.any([ended, search.found]), getProcessNeed())
    if (answer.isErr()) return toAttemptEnd(answer.error)
    const isForRest = hasOrderlyEnd(progress)
    head = answer.value.head
    if (head.status < STATUS_SERVER_ERROR) deps.loads.recordSuccess(slot.target.id, sentAt)
    if (head.load !== undefined) deps.loads.recordReportedLoad(slot.target.id, head.load)
    const reader = createEventReader(answer.value, { after: progress.lastEventId, canResume: isResumable })
    const end = isForRest && head.status !== STATUS_OK
      ? failed('noRest', `the target answered with status ${head.status}`)
      : await forwardAnswer(answer.value, reader)
    progress.ending = { ...answer.value.getEnding(), ...reader.getCounts() }
    answer.value.close()
    return end
  }

  /** Where the path to targets is lost, no silence has to show first. Requests not sent yet have failed by then. */
  function leaveHangingConnection (): void {
    if (!isOver && canMove && !deps.paths.isDirectUsable(slot.target.address)) search.start()
  }

  /** What two versions write doesn't fit together, and the version belongs to the process that gets the stream. */
  function getProcessNeed (): ProcessNeed | undefined {
    if (!isResumable) return undefined
    return {
      mustBeListed: progress.version !== undefined || head !== undefined,
      onIdentified: (startedAt) => { processStartedAt = startedAt }
    }
  }

  function recordBytes (): void {
    watch.recordBytes()
    search.stop()
    if (silentSince === undefined) return
    deps.loads.recordSuccess(slot.target.id, silentSince)
    silentSince = undefined
  }

  function toAttemptEnd (failure: SendFailure): AttemptEnd {
    if (call.reply.disconnected.aborted) return { type: 'gone' }
    if (search.found.aborted) {
      const cause = new SendFailure('broken', true, 'the target sent no bytes within its timeout')
      return { type: 'failed', failure: cause, nextSlot: search.takeSlot() }
    }
    // That the time is up is no sign of a crash.
    if (!ended.aborted) recordCrashEvidence(failure)
    const kind = FAULT_KINDS[failure.reason]
    if (kind !== undefined) deps.loads.recordFailure(slot.target.id, failure.reason, kind)
    if (ended.aborted) return failed('aborted', failure.message)
    return { type: 'failed', failure }
  }

  function recordCrashEvidence ({ reason }: SendFailure): void {
    const { crashes } = deps
    // A cut that befalls all connections is no crash, and neither is a failure to ask what follows the last event.
    if (deps.paths.isCutOff() || progress.openEnds > 0) return
    if (reason !== 'staleConnection' && (reason !== 'broken' || events >= BEGINNING_EVENTS)) return
    crashes.recordPossibleCrash(slot.target, request, reason)
  }

  async function forwardAnswer (answer: TargetAnswer, reader: EventReader): Promise<AttemptEnd> {
    const { head } = answer
    if (isSuccess(head) && !head.isSigned) return toAttemptEnd(new SendFailure('spoiled', true, 'unsigned success'))
    if (head.status >= STATUS_SERVER_ERROR) {
      deps.loads.recordFailure(slot.target.id, 'serverError', 'target')
      if (canMove) return failed('broken', `the target answered with status ${head.status}`)
    }
    // Its caller has the head of the first answer.
    if (head.status !== STATUS_OK && call.reply.hasStarted()) {
      return failed('broken', `the target answered with status ${head.status}`)
    }
    return route.kind === 'stream' && isSuccess(head) ? await forwardEvents(answer, reader) : await forwardBody(answer)
  }

  async function forwardBody (answer: TargetAnswer): Promise<AttemptEnd> {
    const { head } = answer
    const buffered: Uint8Array[] = []
    let bufferedBytes = 0
    let isBuffered = isRepeatable(route)
    for (;;) {
      const next = await answer.read({ mustBeProven: isSuccess(head) && !isRepeatable(route) })
      if (next.isErr()) {
        // Its target has lived to the end of the answer.
        if (next.error.reason === 'unproven') deps.crashes.recordAnswer(request.headers)
        return toAttemptEnd(next.error)
      }
      recordBytes()
      if (next.value === undefined) break
      if (!isBuffered) {
        await writeBytes(head, next.value)
        continue
      }
      buffered.push(next.value)
      bufferedBytes += next.value.length
      // A long body is passed on as it comes; it is not worth the memory that a retry would need.
      isBuffered = answer.getEnding().bytes <= MAX_BUFFERED_BYTES && call.reply.reserve(bufferedBytes)
      if (!isBuffered) await writeAll(head, buffered)
    }
    deps.crashes.recordAnswer(request.headers)
    await writeAll(head, buffered)
    return endReply(head)
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
        recordBytes()
        events += 1
        if (events === BEGINNING_EVENTS) deps.crashes.recordAnswer(request.headers)
        await writeEvent(answer, event.bytes)
        progress.lastEventId = event.id ?? progress.lastEventId
        Object.assign(progress, NO_OPEN_ENDS)
      }
    }
    return endReply(answer.head)
  }

  function endReply ({ status, headers }: AnswerHead): AttemptEnd {
    if (!call.reply.hasStarted()) call.reply.begin(status, headers)
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
    if (!call.reply.hasStarted()) {
      // Its caller may take the stream up elsewhere as soon as it has the event.
      if (isResumable && progress.version === undefined) {
        await deps.streamBinder.bind(request.id, slot.target, processStartedAt)
      }
      deps.metrics.timing('live.firstEvent', clock.now() - call.arrivedAt)
    }
    await writeBytes(answer.head, bytes)
  }

  async function writeAll (head: AnswerHead, buffered: Uint8Array[]): Promise<void> {
    let leftBytes = buffered.reduce((sum, { length }) => sum + length, 0)
    for (const chunk of buffered.splice(0)) {
      await writeBytes(head, chunk)
      leftBytes -= chunk.length
      call.reply.reserve(leftBytes)
    }
  }

  /** Begins the response with its first bytes, so that a request that fails before them can still be refused. */
  async function writeBytes (head: AnswerHead, bytes: Uint8Array): Promise<void> {
    if (!call.reply.hasStarted()) call.reply.begin(head.status, head.headers)
    // Nothing is read from the target while the caller takes no more bytes.
    watch.hold()
    await call.reply.write(bytes, ended)
    watch.recordBytes()
  }
}
