/** Reads the body of a request at the cost of its bytes, within limits of size, time and memory. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { PROGRESS_BYTES, RefusalError, SECOND_MS, type Clock } from '../../shared'
import type { RequestMemory } from '../live'
import { getSegmentBytes, returnSegments, takeSegment } from './segments'

/** Longest time for a body, whatever its caller says, in milliseconds. */
const MAX_BODY_MS = 120 * SECOND_MS
/** Retry hint for callers whose body found no room, in milliseconds. */
export const OVERLOADED_RETRY_AFTER_MS = 500

export interface BodyLimits {
  /** Maximum size, in bytes. */
  maxBytes: number
  /** Time by which the body has to be whole, on the monotonic clock in milliseconds. */
  endAt: number
}

export interface BodyReader {
  /** Settles with the whole body, or with the refusal for which no more of it is read. */
  body: Promise<Result<Uint8Array, RefusalError>>
  /** Sets the limits, which the route of the request determines. */
  setLimits: (limits: BodyLimits) => void
  /** Reads no more, as the request is refused. */
  abort: (refusal: RefusalError) => void
}

export interface BodyReaderOptions {
  req: IncomingMessage
  memory: Pick<RequestMemory, 'resizeBody' | 'recordProgress' | 'setEvict'>
  clock: Pick<Clock, 'now'>
}

/**
 * Starts to read a body. Until its limits are set, only the budget for memory bounds it.
 *
 * A body that is too large is refused with `bodyTooLarge`, one that isn't whole in time with `bodyTimeout`, and one
 * that finds no room or has to give way to others with `overloaded`.
 */
export function createBodyReader ({ req, memory, clock }: BodyReaderOptions): BodyReader {
  let segments: Buffer[] = []
  /** Bytes of the last segment that are in use. */
  let lastBytes = 0
  let allocatedBytes = 0
  let size = 0
  let progressSize = 0
  let maxBytes: number | undefined
  let isEnded = false
  let isSettled = false
  let timer: NodeJS.Timeout | undefined
  let settle: (result: Result<Uint8Array, RefusalError>) => void
  const body = new Promise<Result<Uint8Array, RefusalError>>((resolve) => { settle = resolve })

  req.on('data', add)
  req.on('end', end)
  req.on('error', breakOff)
  req.on('close', breakOff)
  memory.setEvict(() => abort(createOverloadedError()))
  if (req.destroyed) breakOff()

  function add (chunk: Buffer): void {
    size += chunk.length
    if (maxBytes !== undefined && size > maxBytes) return abort(createTooLargeError(maxBytes))
    for (let start = 0; start < chunk.length;) {
      const last = segments.at(-1)
      const copied = last === undefined ? 0 : chunk.copy(last, lastBytes, start)
      lastBytes += copied
      start += copied
      if (start < chunk.length && !addSegment()) return abort(createOverloadedError())
    }
    if (size - progressSize < PROGRESS_BYTES) return
    progressSize = size
    memory.recordProgress()
  }

  function addSegment (): boolean {
    const bytes = getSegmentBytes(allocatedBytes)
    if (!memory.resizeBody(allocatedBytes + bytes)) return false
    allocatedBytes += bytes
    segments.push(takeSegment(bytes))
    lastBytes = 0
    return true
  }

  function end (): void {
    isEnded = true
    memory.setEvict(undefined)
    if (maxBytes !== undefined) finish(ok(joinSegments()))
  }

  function joinSegments (): Uint8Array {
    const last = segments.at(-1)
    if (last === undefined) return Buffer.alloc(0)
    if (segments.length === 1) {
      segments = []
      return last.subarray(0, lastBytes)
    }
    const whole = Buffer.concat(segments, size)
    memory.resizeBody(size)
    return whole
  }

  function breakOff (): void {
    if (!isEnded) abort(new RefusalError('badRequest', { detail: 'the body broke off' }))
  }

  function abort (refusal: RefusalError): void {
    if (isSettled) return
    finish(err(refusal))
    memory.resizeBody(0)
  }

  function finish (result: Result<Uint8Array, RefusalError>): void {
    clearTimeout(timer)
    req.off('data', add)
    // An idle connection keeps its latest request, which must not keep the body.
    req.off('end', end)
    req.off('error', breakOff)
    req.off('close', breakOff)
    memory.setEvict(undefined)
    returnSegments(segments)
    segments = []
    isSettled = true
    settle(result)
  }

  return {
    body,
    setLimits: (limits) => {
      if (isSettled) return
      maxBytes = limits.maxBytes
      const announcedBytes = Number(req.headers['content-length'] ?? 0)
      if (Math.max(size, announcedBytes) > maxBytes) return abort(createTooLargeError(maxBytes))
      if (isEnded) return finish(ok(joinSegments()))
      if (req.complete) return
      const leftMs = Math.min(MAX_BODY_MS, Math.max(0, limits.endAt - clock.now()))
      timer = setTimeout(() => abort(new RefusalError('bodyTimeout')), leftMs)
    },
    abort
  }
}

function createTooLargeError (maxBytes: number): RefusalError {
  return new RefusalError('bodyTooLarge', { detail: `the body is larger than ${maxBytes} bytes` })
}

/** Creates the refusal of a request for which there is no memory. */
export function createOverloadedError (): RefusalError {
  return new RefusalError('overloaded', { retryAfterMs: OVERLOADED_RETRY_AFTER_MS })
}
