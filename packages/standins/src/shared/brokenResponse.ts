/** Responses of stand-ins with any framing of their bodies, which may break off. */
import type { ServerResponse } from 'node:http'
import type { BodyFraming } from 'pimentoplank/shared'

/**
 * Sets how a response defines the end of its body; must be called before its head is sent.
 *
 * @param bodyBytes - length of the whole body, which only `length` needs
 */
export function setFraming (res: ServerResponse, framing: BodyFraming, bodyBytes = 0): void {
  if (framing === 'length') res.setHeader('Content-Length', bodyBytes)
  if (framing === 'connection') res.useChunkedEncodingByDefault = false
}

/**
 * Breaks off a response.
 *
 * @param res - its head must have been set, but need not have been sent
 * @param lastBytes - sent before it breaks off
 * @param by - closes the connection in an orderly way, or resets it together with the last bytes
 */
export function breakOffResponse (res: ServerResponse, lastBytes: string | Uint8Array, by: 'close' | 'reset'): void {
  const { socket } = res
  res.flushHeaders()
  if (lastBytes.length > 0) res.write(lastBytes)
  if (by === 'close') {
    socket?.end()
    return
  }
  // Hands the last bytes to the kernel now, so that they arrive together with the reset.
  while ((socket?.writableCorked ?? 0) > 0) socket?.uncork()
  socket?.resetAndDestroy()
}
