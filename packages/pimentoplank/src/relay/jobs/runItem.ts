/** Runs one item of a batch job at one target. */
import { err, ok, type Result } from 'neverthrow'
import type { Clock, Log } from '../../shared'
import { createEventSplitter, eventData, SendFailure, type Exchange, type TargetAnswer } from '../exchange'
import type { CallerRequest, Target } from '../model'
import type { ItemProgress } from './ownedJob'
import type { JobItem } from './records'

/**
 * - `completed`: the text is whole
 * - `impossible`: the target says that it can never be done
 * - `failed`: the target ran it and says that it failed
 * - `refused`: it did not run
 * - `interrupted`: it broke off, or this side ended it; it can go on from its progress
 */
export type ItemEnd =
  | { type: 'completed', text: string }
  | { type: 'impossible' }
  | { type: 'failed' }
  | { type: 'refused' }
  | { type: 'interrupted', isBroken: boolean }

export interface RunItemOptions {
  item: JobItem
  host: string
  progress: ItemProgress
  target: Target
  /** Time after which the item may be given up, in milliseconds from now. */
  leftMs: number
  /** Silence after which a run is taken for lost, in milliseconds. */
  silenceMs: number
  exchange: Exchange
  clock: Clock
  log: Log
  /** Called when the target begins to work on the item. */
  onStarted: () => void
  /** Ends the run. */
  signal: AbortSignal
}

const STATUS_UNPROCESSABLE = 422
const STATUS_SERVER_ERROR = 500

/** Runs an item from where it stands; its progress is brought up to date with each event. */
export async function runItem (options: RunItemOptions): Promise<ItemEnd> {
  const { item, progress, target, exchange } = options
  const silence = new AbortController()
  const signal = AbortSignal.any([options.signal, silence.signal])
  const timer = setTimeout(() => silence.abort(), options.silenceMs)
  const request: CallerRequest = {
    id: item.id,
    host: options.host,
    method: 'POST',
    path: item.path,
    headers: item.headers,
    body: Buffer.from(item.body, 'base64')
  }
  try {
    const sent = await exchange.send({
      request,
      target,
      deadlineMs: Math.max(1, Math.round(options.leftMs)),
      lastEventId: progress.lastEventId
    }, signal)
    if (sent.isErr()) {
      if (!options.signal.aborted) logFailure(sent.error)
      return sent.error.mayHaveRun || options.signal.aborted
        ? { type: 'interrupted', isBroken: !options.signal.aborted }
        : { type: 'refused' }
    }
    timer.refresh()
    options.onStarted()
    const end = await readAnswer(sent.value, progress, () => timer.refresh())
    sent.value.close()
    if (end.isOk()) return end.value
    if (!options.signal.aborted) logFailure(end.error)
    return { type: 'interrupted', isBroken: !options.signal.aborted }
  } finally {
    clearTimeout(timer)
  }

  function logFailure (failure: SendFailure): void {
    options.log.info({
      item: item.id, target: target.id, reason: failure.reason, lastEvent: progress.lastEventId, detail: failure.message
    }, 'item run broke off')
  }
}

async function readAnswer (
  answer: TargetAnswer,
  progress: ItemProgress,
  onBytes: () => void
): Promise<Result<ItemEnd, SendFailure>> {
  const { status, isSigned } = answer.head
  const isSuccess = status >= 200 && status < 300
  if (isSuccess && !isSigned) return err(new SendFailure('spoiled', true, 'a success without proof'))
  const splitter = createEventSplitter()
  for (;;) {
    const next = await answer.read()
    if (next.isErr()) return err(next.error)
    if (next.value === undefined) break
    onBytes()
    if (!isSuccess) continue
    for (const event of splitter.push(next.value)) {
      const taken = takeEvent(event, progress)
      if (taken.isErr()) return err(taken.error)
    }
  }
  if (status === STATUS_UNPROCESSABLE) return ok({ type: 'impossible' })
  if (status >= STATUS_SERVER_ERROR) return ok({ type: 'failed' })
  if (!isSuccess) return ok({ type: 'refused' })
  if (splitter.rest().length > 0) return err(new SendFailure('broken', true, 'the last event is not whole'))
  return ok({ type: 'completed', text: progress.data.join('\n') })
}

function takeEvent (event: { bytes: Uint8Array, id?: number }, progress: ItemProgress): Result<void, SendFailure> {
  const { id } = event
  const last = progress.lastEventId
  if (id === undefined || (last !== undefined && id <= last)) return ok(undefined)
  if (last !== undefined && id !== last + 1) {
    return err(new SendFailure('spoiled', true, `event ${id} follows ${last}`))
  }
  progress.lastEventId = id
  const data = eventData(event.bytes)
  if (data !== undefined) progress.data.push(data)
  return ok(undefined)
}
