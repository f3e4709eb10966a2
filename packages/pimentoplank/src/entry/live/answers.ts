/** Answers of live runs, collected in one response or streamed as server-sent events. */
import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { toProblemResponse, RefusalError, type Clock, type EngineEvent, type Metrics } from '../../shared'
import { streamResponse } from '../api/responseStream'
import type { CompletionAnswer, CompletionFormat, CompletionIdentity } from './completionFormat'
import type { LiveRun } from './liveJob'

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
  'transfer-encoding': 'chunked'
}
const DONE_EVENT = 'data: [DONE]\n\n'

export interface AnswerOptions {
  identity: CompletionIdentity
  format: CompletionFormat
}

export interface EventAnswerOptions extends AnswerOptions {
  clock: Clock
  metrics: Metrics
  stallTimeoutMs: number
  onClose: () => void
}

/** Reads a run to its end and returns the complete answer. */
export async function collectAnswer (
  run: LiveRun,
  identity: CompletionIdentity
): Promise<Result<CompletionAnswer, RefusalError>> {
  let text = ''
  for (;;) {
    const event = await run.next()
    if (event.isErr()) return err(event.error)
    if (event.value.type === 'token') {
      text += event.value.text
      continue
    }
    const { finishReason, promptTokens, completionTokens } = event.value
    return ok({ ...identity, text, finishReason, promptTokens, completionTokens })
  }
}

/**
 * Streams a run as server-sent events. A failure after the first event is sent as an `error` event, and the stream
 * ends without the closing `[DONE]` event.
 *
 * @param first - the first event, which has been read from the run already
 */
export function streamEvents (c: Context, run: LiveRun, first: EngineEvent, options: EventAnswerOptions): Response {
  const { format, identity } = options
  const encoder = new TextEncoder()
  let pending: EngineEvent | undefined = first
  let state: 'running' | 'ended' | 'failed' = 'running'

  function render (event: EngineEvent): Uint8Array {
    const data = `data: ${JSON.stringify(format.formatEvent(identity, event))}\n\n`
    if (event.type !== 'end') return encoder.encode(data)
    state = 'ended'
    return encoder.encode(data + DONE_EVENT)
  }

  async function next (): Promise<Uint8Array | undefined> {
    if (state !== 'running') return undefined
    const event = pending === undefined ? await run.next() : ok<EngineEvent, RefusalError>(pending)
    pending = undefined
    if (event.isOk()) return render(event.value)
    state = 'failed'
    options.metrics.countRefusal(event.error.reason)
    const { body } = toProblemResponse(event.error, c.get('requestId'))
    return encoder.encode(`event: error\ndata: ${JSON.stringify(body)}\n\n`)
  }

  return streamResponse(c, {
    status: 200,
    headers: EVENT_STREAM_HEADERS,
    next,
    clock: options.clock,
    stallTimeoutMs: options.stallTimeoutMs,
    onClose: () => {
      if (state === 'running') run.cancel().catch(() => undefined)
      options.onClose()
    }
  })
}
