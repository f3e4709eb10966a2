/** Reader of one token stream of an engine. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { KIB_BYTES } from '../constants'
import { describeCause } from '../errors'
import { createEventReader } from './eventReader'
import { EngineError, type EngineEvent, type EngineStream } from './types'

export interface EngineStreamOptions {
  body: Dispatcher.ResponseData['body']
  streamId: string
  softwareVersion?: string
  /** Index of the first token that the stream carries. */
  firstIndex: number
  clock: Clock
  firstTokenTimeoutMs: number
  tokenGapTimeoutMs: number
  /** Ends the stream with an `aborted` error. */
  signal: AbortSignal | undefined
  /** Closes the connection, so that it is not reused. */
  disconnect: () => void
  /** Cancels the stream on the engine. */
  cancelOnEngine: () => Promise<void>
}

/** Maximum number of bytes without an event; more are taken for bytes without end. */
const MAX_EVENT_BYTES = 256 * KIB_BYTES

type ReadResult = IteratorResult<Buffer, undefined>

/** Creates a reader for a stream whose response headers have arrived. */
export function createEngineStream (options: EngineStreamOptions): EngineStream {
  const { clock, signal } = options
  const chunks = options.body[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>
  const decoder = new TextDecoder()
  const reader = createEventReader(options.firstIndex)
  let timeoutMs = options.firstTokenTimeoutMs
  let failure: EngineError | undefined
  let ended = false
  let bytesSinceEvent = 0
  let pendingRead: Promise<ReadResult> | undefined

  async function next (): Promise<Result<EngineEvent, EngineError>> {
    for (;;) {
      if (failure !== undefined) return err(failure)
      const event = reader.take()
      if (event instanceof EngineError) return fail(event)
      if (event !== undefined) return deliver(event)
      const read = await readChunk()
      if (read instanceof EngineError) return read.kind === 'streamSilent' ? err(read) : fail(read)
      if (read.done === true) return fail(new EngineError('streamCut', { reached: true, detail: 'the stream broke off' }))
      bytesSinceEvent += read.value.length
      if (bytesSinceEvent > MAX_EVENT_BYTES) {
        return fail(new EngineError('targetError', { reached: true, detail: `no event in ${MAX_EVENT_BYTES} bytes` }))
      }
      reader.feed(decoder.decode(read.value, { stream: true }))
    }
  }

  async function readChunk (): Promise<ReadResult | EngineError> {
    try {
      pendingRead ??= chunks.next()
      const read = await withTimeLimit(clock, timeoutMs, pendingRead)
      if (read !== TIMED_OUT) {
        pendingRead = undefined
        return read
      }
      // The pending read goes on, also when nobody calls again.
      pendingRead.catch(() => undefined)
      const detail = `no event for ${Math.round(timeoutMs)} ms`
      timeoutMs = options.tokenGapTimeoutMs
      return new EngineError('streamSilent', { reached: true, detail })
    } catch (cause) {
      if (signal?.aborted === true) return new EngineError('aborted', { reached: true, cause })
      return new EngineError('streamCut', { reached: true, detail: describeCause(cause), cause })
    }
  }

  function deliver (event: EngineEvent): Result<EngineEvent, EngineError> {
    timeoutMs = options.tokenGapTimeoutMs
    bytesSinceEvent = 0
    if (event.type !== 'end') return ok(event)
    ended = true
    // Reads the body to its end, so that the connection can be reused.
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
    softwareVersion: options.softwareVersion,
    next: () => new ResultAsync(next()),
    disconnect: () => {
      failure ??= new EngineError('aborted', { reached: true })
      options.disconnect()
    },
    cancel: async () => {
      if (ended) return
      ended = true
      failure ??= new EngineError('aborted', { reached: true })
      options.disconnect()
      await options.cancelOnEngine()
    }
  }
}
