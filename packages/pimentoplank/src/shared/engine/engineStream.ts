/** One running stream of an engine. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { describeCause } from '../errors'
import { createEventReader } from './eventReader'
import { EngineError, type EngineEvent, type EngineStream } from './types'

export interface EngineStreamOptions {
  body: Dispatcher.ResponseData['body']
  streamId: string
  /** Index of the first token that the stream carries. */
  firstIndex: number
  clock: Clock
  firstTokenTimeoutMs: number
  tokenGapTimeoutMs: number
  /** Ends the stream with `aborted`. */
  signal: AbortSignal | undefined
  /** Ends the connection, so that it is not used again. */
  disconnect: () => void
  /** Stops the stream on the engine. */
  stopOnEngine: () => Promise<void>
}

type Read = IteratorResult<Buffer, undefined>

/** Creates the reader side of a stream whose head has arrived. */
export function createEngineStream (options: EngineStreamOptions): EngineStream {
  const { clock, signal } = options
  const chunks = options.body[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>
  const decoder = new TextDecoder()
  const reader = createEventReader(options.firstIndex)
  let limitMs = options.firstTokenTimeoutMs
  let failure: EngineError | undefined
  let ended = false

  async function next (): Promise<Result<EngineEvent, EngineError>> {
    for (;;) {
      if (failure !== undefined) return err(failure)
      const event = reader.take()
      if (event instanceof EngineError) return fail(event)
      if (event !== undefined) return deliver(event)
      const read = await readChunk()
      if (read instanceof EngineError) return fail(read)
      if (read.done === true) return fail(new EngineError('streamCut', { reached: true, detail: 'the stream broke off' }))
      reader.feed(decoder.decode(read.value, { stream: true }))
    }
  }

  async function readChunk (): Promise<Read | EngineError> {
    try {
      const read = await withTimeLimit(clock, limitMs, chunks.next())
      if (read !== TIMED_OUT) return read
      return new EngineError('streamSilent', { reached: true, detail: `no event for ${Math.round(limitMs)} ms` })
    } catch (cause) {
      if (signal?.aborted === true) return new EngineError('aborted', { reached: true, cause })
      return new EngineError('streamCut', { reached: true, detail: describeCause(cause), cause })
    }
  }

  function deliver (event: EngineEvent): Result<EngineEvent, EngineError> {
    limitMs = options.tokenGapTimeoutMs
    if (event.type !== 'end') return ok(event)
    ended = true
    // Reads the end of the body, so that the connection can serve another request.
    chunks.next().catch(() => undefined)
    return ok(event)
  }

  function fail (cause: EngineError): Result<EngineEvent, EngineError> {
    failure = cause
    options.disconnect()
    return err(cause)
  }

  return {
    streamId: options.streamId,
    next: () => new ResultAsync(next()),
    cancel: async () => {
      if (ended) return
      ended = true
      failure ??= new EngineError('aborted', { reached: true })
      options.disconnect()
      await options.stopOnEngine()
    }
  }
}
