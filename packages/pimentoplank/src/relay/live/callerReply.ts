/** Writes an answer to a caller. */
import type { ServerResponse } from 'node:http'
import type { RefusalError } from '../../shared'
import type { RawHeaders } from '../model'

export interface RefusalAnswer {
  status: number
  headers: RawHeaders
  body: string
}

export interface CallerReply {
  /** True once the head went out. */
  isBegun: () => boolean
  begin: (status: number, headers: RawHeaders) => void
  /** Writes bytes; resolves when the caller has room for more, or is gone. */
  write: (bytes: Uint8Array) => Promise<void>
  /** Ends an answer that is whole. */
  end: () => void
  /** Ends the connection, so that the answer can't be taken for a whole one. */
  cut: () => void
  refuse: (refusal: RefusalError) => void
  /** Aborts when the caller is gone before the answer is whole. */
  gone: AbortSignal
}

export interface CallerReplyOptions {
  res: ServerResponse
  encodeRefusal: (refusal: RefusalError) => RefusalAnswer
  /** True when callers are to leave this instance. */
  isLeaving: () => boolean
}

/** Creates the reply to one request. */
export function createCallerReply ({ res, encodeRefusal, isLeaving }: CallerReplyOptions): CallerReply {
  const gone = new AbortController()
  res.on('close', () => { if (!res.writableFinished) gone.abort() })
  res.on('error', () => gone.abort())

  function begin (status: number, headers: RawHeaders): void {
    res.writeHead(status, isLeaving() ? [...headers, 'Connection', 'close'] : headers)
  }

  return {
    isBegun: () => res.headersSent,
    begin,
    write: async (bytes) => {
      if (res.write(bytes) || gone.signal.aborted) return
      await new Promise<void>((resolve) => {
        const go = (): void => {
          res.off('drain', go)
          gone.signal.removeEventListener('abort', go)
          resolve()
        }
        res.on('drain', go)
        gone.signal.addEventListener('abort', go)
      })
    },
    end: () => { res.end() },
    cut: () => { res.destroy() },
    refuse: (refusal) => {
      const { status, headers, body } = encodeRefusal(refusal)
      begin(status, [...headers, 'Content-Length', String(Buffer.byteLength(body))])
      res.end(body)
    },
    gone: gone.signal
  }
}
