/** Takes one answer from the HTTP client as it comes, without the streams that its `request` call sets up. */
import { err, ok, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type { RawHeaders } from '../model'

export interface IncomingHead {
  status: number
  headers: RawHeaders
}

export interface Incoming {
  handler: Dispatcher.DispatchHandler
  /** Resolves when the head is there. */
  head: () => Promise<Result<IncomingHead, Error>>
  /** The next bytes of the body; undefined after the last. */
  read: () => Promise<Result<Uint8Array | undefined, Error>>
  /** Fails what is waited for. */
  fail: (cause: Error) => void
}

/** Chunks that may wait to be read before the target is held back. */
const MAX_WAITING_CHUNKS = 64
/** First status that is final. */
const FIRST_FINAL_STATUS = 200

/** Creates the receiver of one answer. */
export function createIncoming (): Incoming {
  const chunks: Uint8Array[] = []
  let head: IncomingHead | undefined
  let failure: Error | undefined
  let isEnded = false
  let isPaused = false
  let controller: Dispatcher.DispatchController | undefined
  let wake = (): void => undefined

  function fail (cause: Error): void {
    failure ??= cause
    wake()
  }

  async function change (): Promise<void> {
    await new Promise<void>((resolve) => { wake = resolve })
  }

  return {
    handler: {
      onRequestStart: () => undefined,
      onResponseStart: (ctl, status) => {
        if (status < FIRST_FINAL_STATUS) return
        controller = ctl
        head = { status, headers: (ctl.rawHeaders as Buffer[] | undefined)?.map(String) ?? [] }
        wake()
      },
      onResponseData: (_ctl, chunk) => {
        // The client uses its buffer again for the next bytes.
        chunks.push(Buffer.from(chunk))
        if (chunks.length > MAX_WAITING_CHUNKS) {
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
        await change()
      }
    },
    read: async () => {
      for (;;) {
        const chunk = chunks.shift()
        if (chunk !== undefined) {
          if (isPaused && chunks.length === 0) {
            isPaused = false
            controller?.resume()
          }
          return ok(chunk)
        }
        if (isEnded) return ok(undefined)
        if (failure !== undefined) return err(failure)
        await change()
      }
    },
    fail
  }
}
