/** Streams a response to a caller with backpressure, and disconnects a caller that stops reading. */
import type { HttpBindings } from '@hono/node-server'
import type { Context } from 'hono'
import { truncateResponse, type Clock } from '../../shared'

export interface ResponseStreamOptions {
  status: number
  headers: Record<string, string | string[]>
  /** Returns the next chunk; undefined at the end of a complete response, `TRUNCATED` where it breaks off. */
  next: () => Promise<Uint8Array | undefined | typeof TRUNCATED>
  /** Called once when the response ends, complete or not. */
  onClose: () => void
  clock: Clock
  /** How long the caller may leave the response unread, in milliseconds. */
  stallTimeoutMs: number
}

/** Marks a response as incomplete, so that its connection must be destroyed. */
export const TRUNCATED: unique symbol = Symbol('cut')

const EMPTY_BODY_STATUSES = new Set([204, 205, 304])

/** Builds the response. Chunks are pulled only as the caller reads them, which bounds the memory in use. */
export function streamResponse (c: Context, options: ResponseStreamOptions): Response {
  const { clock } = options
  let isClosed = false
  let stallTimer = new AbortController()

  function close (): void {
    if (isClosed) return
    isClosed = true
    stallTimer.abort()
    options.onClose()
  }

  /** Destroys the connection, so that the caller can't take an incomplete response for a complete one. */
  function truncate (controller: ReadableStreamDefaultController): void {
    const res = getOutgoing(c)
    if (res !== undefined) truncateResponse(res)
    close()
    controller.close()
  }

  function startStallTimer (controller: ReadableStreamDefaultController): void {
    stallTimer = new AbortController()
    const { signal } = stallTimer
    clock.sleep(options.stallTimeoutMs, signal).then(() => {
      if (!signal.aborted && !isClosed) truncate(controller)
    })
  }

  const body = new ReadableStream<Uint8Array>({
    pull: async (controller) => {
      stallTimer.abort()
      const chunk = await options.next()
      if (isClosed) return
      if (chunk === TRUNCATED) return truncate(controller)
      if (chunk === undefined) {
        controller.close()
        return close()
      }
      controller.enqueue(chunk)
      startStallTimer(controller)
    },
    cancel: () => close()
  }, { highWaterMark: 0 })

  const hasNoBody = EMPTY_BODY_STATUSES.has(options.status) || c.req.method === 'HEAD'
  if (hasNoBody) options.next().then(close, close)

  const headers = new Headers()
  for (const [name, value] of Object.entries(options.headers)) {
    for (const item of [value].flat()) headers.append(name, item)
  }
  return c.newResponse(hasNoBody ? null : body, { status: options.status as 200, headers })
}

function getOutgoing (c: Context): HttpBindings['outgoing'] | undefined {
  return (c.env as Partial<HttpBindings> | undefined)?.outgoing as HttpBindings['outgoing'] | undefined
}
