/** Receives one response from the HTTP client's dispatch events, without the streams that `request` creates. */
import { err, ok, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { KIB_BYTES } from '../../shared'
import type { RawHeaders } from '../model'

export interface ResponseHead {
  status: number
  headers: RawHeaders
}

export interface ResponseReceiver {
  handler: Dispatcher.DispatchHandler
  /** Resolves when the head has been received. */
  head: () => Promise<Result<ResponseHead, Error>>
  /** Reads the next bytes of the body; resolves to undefined at its end. */
  read: () => Promise<Result<Uint8Array | undefined, Error>>
  /** Fails pending and later reads that have no data. */
  fail: (cause: Error) => void
}

/** Unread chunks, and their bytes, above which reading from the socket is paused. */
const MAX_BUFFERED_CHUNKS = 64
const MAX_BUFFERED_BYTES = 64 * KIB_BYTES
/** Responses with a lower status are informational and precede the final one. */
const FIRST_FINAL_STATUS = 200
/** Maximum number of informational responses before the final one. */
const MAX_INFORMATIONAL = 16

/** Creates the receiver of one response. */
export function createResponseReceiver (): ResponseReceiver {
  const chunks: Uint8Array[] = []
  let head: ResponseHead | undefined
  let failure: Error | undefined
  let isEnded = false
  let informational = 0
  let bufferedBytes = 0
  let isPaused = false
  let controller: Dispatcher.DispatchController | undefined
  let wake = (): void => undefined

  function fail (cause: Error): void {
    failure ??= cause
    wake()
  }

  async function waitForChange (): Promise<void> {
    await new Promise<void>((resolve) => { wake = resolve })
  }

  return {
    handler: {
      onRequestStart: () => undefined,
      onResponseStart: (ctl, status) => {
        if (status < FIRST_FINAL_STATUS) {
          informational += 1
          if (informational > MAX_INFORMATIONAL) ctl.abort(new Error('too many informational responses'))
          return
        }
        controller = ctl
        // Bytes beyond ASCII have to stay as they are; other characters than those of Latin-1 could not be written.
        head = { status, headers: (ctl.rawHeaders as Buffer[] | undefined)?.map((bytes) => bytes.toString('latin1')) ?? [] }
        wake()
      },
      onResponseData: (_ctl, chunk) => {
        // The client reuses its buffer for the next bytes.
        chunks.push(Buffer.from(chunk))
        bufferedBytes += chunk.length
        if (chunks.length > MAX_BUFFERED_CHUNKS || bufferedBytes > MAX_BUFFERED_BYTES) {
          isPaused = true
          controller?.pause()
        }
        wake()
      },
      onResponseEnd: () => {
        isEnded = true
        wake()
      },
      onResponseError: (_ctl, cause) => fail(cause)
    },
    head: async () => {
      for (;;) {
        if (head !== undefined) return ok(head)
        if (failure !== undefined) return err(failure)
        await waitForChange()
      }
    },
    read: async () => {
      for (;;) {
        const chunk = chunks.shift()
        if (chunk !== undefined) {
          bufferedBytes -= chunk.length
          if (isPaused && chunks.length === 0) {
            isPaused = false
            controller?.resume()
          }
          return ok(chunk)
        }
        if (isEnded) return ok(undefined)
        if (failure !== undefined) return err(failure)
        await waitForChange()
      }
    },
    fail
  }
}
