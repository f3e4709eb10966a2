/** Writes the response to a caller. */
import type { ServerResponse } from 'node:http'
import { truncateResponse, type RefusalError } from '../../shared'
import type { RawHeaders } from '../model'

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
  /** Ends a complete response. */
  end: () => void
  /** Ends a response that has begun so that the caller can't take it for complete. */
  truncate: () => void
  refuse: (refusal: RefusalError) => void
  /** Aborts when the caller disconnects before the response is complete. */
  disconnected: AbortSignal
}

export interface CallerReplyOptions {
  res: ServerResponse
  encodeRefusal: (refusal: RefusalError) => RefusalAnswer
  /** True while this instance is draining and asks callers to close their connections. */
  isLeaving: () => boolean
}

/** Creates the response writer of one request. */
export function createCallerReply ({ res, encodeRefusal, isLeaving }: CallerReplyOptions): CallerReply {
  const gone = new AbortController()
  res.on('close', () => { if (!res.writableFinished) gone.abort() })
  res.on('error', () => gone.abort())

  function begin (status: number, headers: RawHeaders): void {
    res.writeHead(status, isLeaving() ? [...headers, 'Connection', 'close'] : headers)
  }

  return {
    hasStarted: () => res.headersSent,
    begin,
    write: async (bytes, ended) => {
      if (res.write(bytes) || gone.signal.aborted || ended?.aborted === true) return
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
    },
    end: () => { res.end() },
    truncate: () => truncateResponse(res),
    refuse: (refusal) => {
      const { status, headers, body } = encodeRefusal(refusal)
      begin(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
      res.end(body)
    },
    disconnected: gone.signal
  }
}
