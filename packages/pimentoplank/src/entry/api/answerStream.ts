/** Streams an answer to a caller as fast as it reads, and gives up on one that stops reading. */
import type { HttpBindings } from '@hono/node-server'
import type { Context } from 'hono'
import type { Clock } from '../../shared'

export interface AnswerStreamOptions {
  status: number
  headers: Record<string, string | string[]>
  /** Next piece; undefined at the end of a whole answer, `cut` where it breaks off. */
  next: () => Promise<Uint8Array | undefined | typeof CUT>
  /** Called once when the answer is over, whichever way. */
  onClose: () => void
  clock: Clock
  /** How long the caller may leave the answer unread, in milliseconds. */
  stallTimeoutMs: number
}

/** Says that an answer breaks off, so that its connection must be cut. */
export const CUT: unique symbol = Symbol('cut')

const BODYLESS_STATUSES = new Set([204, 205, 304])

/** Builds the response. Pieces are asked for only as the caller takes them, so that little is held in memory. */
export function streamAnswer (c: Context, options: AnswerStreamOptions): Response {
  const { clock } = options
  let closed = false
  let stall = new AbortController()

  function close (): void {
    if (closed) return
    closed = true
    stall.abort()
    options.onClose()
  }

  /** An answer that isn't whole must not look like one: the connection breaks instead of ending. */
  function cut (controller: ReadableStreamDefaultController): void {
    outgoingOf(c)?.destroy()
    close()
    controller.close()
  }

  function watchForStall (controller: ReadableStreamDefaultController): void {
    stall = new AbortController()
    const { signal } = stall
    clock.sleep(options.stallTimeoutMs, signal).then(() => {
      if (!signal.aborted && !closed) cut(controller)
    })
  }

  const body = new ReadableStream<Uint8Array>({
    pull: async (controller) => {
      stall.abort()
      const piece = await options.next()
      if (closed) return
      if (piece === CUT) return cut(controller)
      if (piece === undefined) {
        controller.close()
        return close()
      }
      controller.enqueue(piece)
      watchForStall(controller)
    },
    cancel: () => close()
  }, { highWaterMark: 0 })

  const isBodyless = BODYLESS_STATUSES.has(options.status) || c.req.method === 'HEAD'
  if (isBodyless) options.next().then(close, close)

  const headers = new Headers()
  for (const [name, value] of Object.entries(options.headers)) {
    for (const one of [value].flat()) headers.append(name, one)
  }
  return c.newResponse(isBodyless ? null : body, { status: options.status as 200, headers })
}

function outgoingOf (c: Context): HttpBindings['outgoing'] | undefined {
  return (c.env as Partial<HttpBindings> | undefined)?.outgoing as HttpBindings['outgoing'] | undefined
}
