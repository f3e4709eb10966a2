/** Writes the response to a caller. */
import type { ServerResponse } from 'node:http'
import { closeLingering, truncateResponse, type RefusalError } from '../../shared'
import type { RawHeaders } from '../model'
import type { RequestMemory } from './requestMemory'

export interface RefusalAnswer {
  status: number
  headers: RawHeaders
  body: string
}

export interface CallerReply {
  /** True once the head has been sent. */
  hasStarted: () => boolean
  begin: (status: number, headers: RawHeaders) => void
  /**
   * Writes bytes; resolves when the connection can take more, or the caller has disconnected.
   *
   * @param ended - ends the wait early
   */
  write: (bytes: Uint8Array, ended?: AbortSignal) => Promise<void>
  /**
   * Counts bytes of the response that are kept before they are written.
   *
   * @param bytes - all that are kept
   * @returns false if there is no room for them
   */
  reserve: (bytes: number) => boolean
  /** Ends a complete response. */
  end: () => void
  /** Ends a response that has begun so that the caller can't take it for complete. */
  truncate: () => void
  /** Sends a refusal, and closes the connection if the request has not been read to its end. */
  refuse: (refusal: RefusalError) => void
  /** Aborts when the caller disconnects before the response is complete. */
  disconnected: AbortSignal
}

export interface CallerReplyOptions {
  res: ServerResponse
  /** Memory of the request; absent if it was not counted, and is refused. */
  memory?: Pick<RequestMemory, 'resizeAnswer' | 'chargeUnread' | 'recordProgress' | 'setEvict'>
  encodeRefusal: (refusal: RefusalError) => RefusalAnswer
  /** True while this instance is draining and asks callers to close their connections. */
  isLeaving: () => boolean
}

/** Creates the response writer of one request. */
export function createCallerReply ({ res, memory, encodeRefusal, isLeaving }: CallerReplyOptions): CallerReply {
  const gone = new AbortController()
  res.on('close', () => { if (!res.writableFinished) gone.abort() })
  res.on('error', () => gone.abort())

  function begin (status: number, headers: RawHeaders, isLast = isLeaving()): void {
    res.writeHead(status, isLast ? [...headers, 'Connection', 'close'] : headers)
  }

  async function waitForDrain (ended: AbortSignal | undefined): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = (): void => {
        res.off('drain', resume)
        gone.signal.removeEventListener('abort', resume)
        ended?.removeEventListener('abort', resume)
        resolve()
      }
      res.on('drain', resume)
      gone.signal.addEventListener('abort', resume)
      ended?.addEventListener('abort', resume)
    })
  }

  return {
    hasStarted: () => res.headersSent,
    begin: (status, headers) => begin(status, headers),
    write: async (bytes, ended) => {
      if (res.write(bytes) || gone.signal.aborted || ended?.aborted === true) return
      memory?.chargeUnread(res.writableLength)
      memory?.setEvict(() => truncateResponse(res))
      await waitForDrain(ended)
      memory?.setEvict(undefined)
      memory?.chargeUnread(res.writableLength)
    },
    reserve: (bytes) => memory?.resizeAnswer(bytes) ?? true,
    end: () => { res.end() },
    truncate: () => truncateResponse(res),
    refuse: (refusal) => {
      const { status, headers, body } = encodeRefusal(refusal)
      const isUnread = !res.req.complete
      begin(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))], isUnread || isLeaving())
      if (isUnread) closeLingering(res, body)
      else res.end(body)
    },
    disconnected: gone.signal
  }
}
