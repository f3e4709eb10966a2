/** Runs one item of a batch job at one target. */
import { err, ok, type Result } from 'neverthrow'
import { SECOND_MS, type Clock, type Log } from '../../shared'
import { addOpenEnd, computeRestBackoff, hasOrderlyEnd, isBusyRefusal, isEndProven } from '../decisions'
import {
  createEventReader, drainAnswer, getEventData, SendFailure,
  type AnswerEnding, type Exchange, type SendFailureReason, type SplitEvent, type TargetAnswer
} from '../exchange'
import type { CallerRequest, Target } from '../model'
import type { ItemProgress, OwnedItem } from './ownedJob'
import type { JobItem } from './records'
import { startSilenceWatch } from './silenceWatch'

/**
 * Result of one run of an item.
 *
 * - `completed`: the text is complete
 * - `impossible`: the target rejected the item permanently
 * - `failed`: the target ran the item and reported a failure
 * - `refused`: the item did not run; `backoffMs` is the mean time before its next run in milliseconds, if not the usual
 * - `interrupted`: the connection broke or this instance aborted the run; the item can resume from its
 *   progress; `isBroken` is false for an abort by this instance, `reason` is `aborted` for a silent target, too
 */
export type ItemEnd =
  | { type: 'completed', text: string }
  | { type: 'impossible' }
  | { type: 'failed' }
  | { type: 'refused', reason?: SendFailureReason, backoffMs?: number }
  | { type: 'interrupted', isBroken: boolean, reason: SendFailureReason }

export interface RunItemOptions {
  item: OwnedItem
  /** Reads the body of an item that is not in memory; undefined if that is not possible now. */
  readBody: () => Promise<string | undefined>
  host: string
  progress: ItemProgress
  target: Target
  /** Remaining time until the item expires, in milliseconds; infinite while that is not known. */
  remainingMs: number
  /** Mean backoff before a refused item is retried, in milliseconds. */
  refusedBackoffMs: number
  /** Time without an event after which the target counts as silent, in milliseconds. */
  silenceTimeoutMs: number
  /** Time without an event after which the connection counts as dead and the run is aborted, in milliseconds. */
  maxSilenceMs: number
  exchange: Exchange
  clock: Clock
  log: Log
  /** Called right before the item is sent; false when it must not be sent any more. */
  mayStillSend: () => boolean
  /** Called when the target has accepted the item and its answer begins. */
  onStarted: () => void
  /** Called when the target has become silent. */
  onSilent: () => void
  /** Called when a silent target goes on. */
  onResumed: () => void
  /** Aborts the run; with the reason `SILENT_TARGET` the abort counts as a fault of the target. */
  signal: AbortSignal
}

/** Reason of an abort for which the item moves from a silent target to another one. */
export const SILENT_TARGET = 'silentTarget'

/** Mean backoff before an item whose body could not be read is tried again, in milliseconds. */
const BODY_RETRY_MS = SECOND_MS
const STATUS_OK = 200
const STATUS_UNPROCESSABLE = 422
const STATUS_SERVER_ERROR = 500

/** Creates the request as which an item is sent. */
export function createItemRequest (item: JobItem, host: string): CallerRequest {
  return {
    id: item.id,
    host,
    method: 'POST',
    path: item.path,
    headers: item.headers,
    body: Buffer.from(item.body, 'base64')
  }
}

/** Runs an item, resuming from its progress; the progress is updated with each event. */
export async function runItem (options: RunItemOptions): Promise<ItemEnd> {
  const { item, progress, target, exchange } = options
  const body = item.body ?? await options.readBody()
  if (body === undefined) return { type: 'refused', reason: 'withdrawn', backoffMs: BODY_RETRY_MS }
  const dead = new AbortController()
  const signal = AbortSignal.any([options.signal, dead.signal])
  const watch = startSilenceWatch({
    silentMs: options.silenceTimeoutMs,
    deadMs: options.maxSilenceMs,
    onSilent: options.onSilent,
    onResumed: options.onResumed,
    onDead: () => dead.abort(),
    clock: options.clock
  })
  const request = createItemRequest({ ...item, body }, options.host)
  try {
    const sent = await exchange.send({
      request,
      target,
      deadlineMs: options.remainingMs === Infinity ? undefined : Math.max(1, Math.round(options.remainingMs)),
      lastEventId: progress.lastEventId,
      mayStillSend: options.mayStillSend
    }, signal, { mustBeListed: true })
    if (sent.isErr()) {
      if (!isOwnAbort()) logFailure(sent.error)
      const { mayHaveRun, reason, status } = sent.error
      const tellsNoRest = reason === 'refused' && hasOrderlyEnd(progress) && !isBusyRefusal(status)
      if (tellsNoRest) return refuseRest(options)
      return mayHaveRun || options.signal.aborted ? interrupt(sent.error) : { type: 'refused', reason }
    }
    watch.recordProgress()
    options.onStarted()
    const outcome = await readAnswer(sent.value, options, watch.recordProgress)
    const ending = sent.value.getEnding()
    sent.value.close()
    if (outcome.isOk()) return outcome.value
    if (!isOwnAbort()) logFailure(outcome.error, ending)
    return interrupt(outcome.error)
  } finally {
    watch.stop()
  }

  function isOwnAbort (): boolean {
    return options.signal.aborted && options.signal.reason !== SILENT_TARGET
  }

  function interrupt ({ reason }: SendFailure): ItemEnd {
    return { type: 'interrupted', isBroken: !isOwnAbort(), reason: signal.aborted ? 'aborted' : reason }
  }

  function logFailure (failure: SendFailure, ending?: AnswerEnding): void {
    options.log.info({
      item: item.id,
      target: target.id,
      reason: failure.reason,
      lastEvent: progress.lastEventId,
      detail: failure.message,
      ...ending
    }, 'item run broke off')
  }
}

async function readAnswer (
  answer: TargetAnswer,
  options: RunItemOptions,
  onProgress: () => void
): Promise<Result<ItemEnd, SendFailure>> {
  const { progress, target, clock } = options
  const { status, isSigned } = answer.head
  if (status !== STATUS_OK && hasOrderlyEnd(progress)) {
    const drained = await drainAnswer(answer)
    return drained.map(() => refuseRest(options))
  }
  const isSuccess = status >= 200 && status < 300
  if (isSuccess && !isSigned) return err(new SendFailure('spoiled', true, 'unsigned success'))
  if (!isSuccess) {
    const drained = await drainAnswer(answer)
    if (drained.isErr()) return err(drained.error)
    if (status === STATUS_UNPROCESSABLE) return ok({ type: 'impossible' })
    return ok({ type: status >= STATUS_SERVER_ERROR ? 'failed' : 'refused' })
  }
  if (status !== STATUS_OK && progress.lastEventId !== undefined) {
    await drainAnswer(answer)
    return err(new SendFailure('spoiled', true, `status ${status} in place of the rest of a text`))
  }
  const reader = createEventReader(answer, { after: progress.lastEventId, canResume: true })
  for (;;) {
    const next = await reader.read()
    if (next.isErr()) {
      Object.assign(progress, addOpenEnd(progress, next.error.reason, target.id, clock.now()))
      if (!isEndProven(progress)) return err(next.error)
    }
    if (next.isErr() || next.value === undefined) return ok({ type: 'completed', text: progress.data.join('\n') })
    const before = progress.lastEventId
    for (const event of next.value) {
      const applied = applyEvent(event, progress)
      if (applied.isErr()) return err(applied.error)
    }
    // Bytes alone are no progress; they may have no end.
    if (progress.lastEventId !== before) onProgress()
  }
}

/** Nothing speaks against the end of a text of which no target tells whether more follows. */
function refuseRest ({ progress, refusedBackoffMs }: RunItemOptions): ItemEnd {
  progress.restRefusals += 1
  const backoffMs = computeRestBackoff(progress.restRefusals, refusedBackoffMs)
  if (backoffMs !== undefined) return { type: 'refused', reason: 'noRest', backoffMs }
  return { type: 'completed', text: progress.data.join('\n') }
}

function applyEvent (event: SplitEvent, progress: ItemProgress): Result<void, SendFailure> {
  const { id } = event
  const last = progress.lastEventId
  if (id === undefined || (last !== undefined && id <= last)) return ok(undefined)
  if (last !== undefined && id !== last + 1) {
    return err(new SendFailure('spoiled', true, `event gap: got event ${id} after event ${last}`))
  }
  progress.lastEventId = id
  progress.openEnds = 0
  progress.emptyAt = undefined
  progress.restRefusals = 0
  const data = getEventData(event.bytes)
  if (data !== undefined) progress.data.push(data)
  return ok(undefined)
}
