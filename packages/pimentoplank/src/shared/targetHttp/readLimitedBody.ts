/** Reads small bodies, such as those of error responses, that may turn out to have no end. */
import type { Dispatcher } from 'undici'
import { TIMED_OUT, withTimeLimit, type Clock } from '../clock'
import { KIB_BYTES, SECOND_MS } from '../constants'

const MAX_BYTES = 64 * KIB_BYTES
const MAX_MS = SECOND_MS

/**
 * Reads a body and closes its connection if it is longer, or takes longer, than an error response may.
 *
 * @returns the bytes; undefined if the body broke off or was too long
 */
export async function readLimitedBody (
  body: Dispatcher.ResponseData['body'],
  clock: Clock
): Promise<Uint8Array | undefined> {
  const read = await withTimeLimit(clock, MAX_MS, readBytes(body))
  if (read !== TIMED_OUT && read !== undefined) return read
  body.destroy()
  return undefined
}

async function readBytes (body: Dispatcher.ResponseData['body']): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      bytes += chunk.length
      if (bytes > MAX_BYTES) return undefined
      chunks.push(chunk)
    }
  } catch {
    // The caller learns from the missing bytes that the body broke off.
    return undefined
  }
  return Buffer.concat(chunks)
}
