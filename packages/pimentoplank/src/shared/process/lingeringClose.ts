/** Ends a response whose request has not been read to its end. */
import type { ServerResponse } from 'node:http'
import { MIB_BYTES, SECOND_MS } from '../constants'

/** Bytes of the request that are still read and dropped. */
export const LINGER_BYTES = 8 * MIB_BYTES
/** Time for which they are read, in milliseconds. */
export const LINGER_MS = 5 * SECOND_MS

export interface LingerLimits {
  maxBytes?: number
  maxMs?: number
}

/**
 * Writes the whole body of a response, drops what still comes of its request, and closes the connection when the
 * request ends or a limit is reached. A connection that is closed with unread bytes is reset, and its caller might not
 * get to read the response.
 *
 * @param res - response whose head has a `Content-Length` and `Connection: close`
 * @param body - body of the response
 */
export function closeLingering (
  res: ServerResponse,
  body: string,
  { maxBytes = LINGER_BYTES, maxMs = LINGER_MS }: LingerLimits = {}
): void {
  const { req } = res
  if (req.readableEnded) {
    res.end(body)
    return
  }
  let leftBytes = maxBytes
  const timer = setTimeout(stop, maxMs)
  req.on('data', drop)
  req.on('error', stop)
  req.on('end', end)
  res.on('close', clear)
  res.write(body)
  req.resume()

  function drop ({ length }: Buffer): void {
    leftBytes -= length
    if (leftBytes < 0) stop()
  }

  function end (): void {
    clear()
    res.end()
  }

  function stop (): void {
    clear()
    res.destroy()
  }

  function clear (): void {
    clearTimeout(timer)
    req.off('data', drop)
    req.off('end', end)
  }
}
