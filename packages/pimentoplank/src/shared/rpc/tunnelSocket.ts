/** The asking end of a tunnel, as a stream that HTTP clients use like a socket. */
import { constants, type ClientHttp2Stream } from 'node:http2'
import { Duplex } from 'node:stream'
import { KIB_BYTES } from '../constants'
import { ConnectionResetError } from '../targetHttp'
import { resetStream, TARGET_RESET_CODE } from './tunnelSession'

/** The peer or the session with it was lost; what the target did is not known. */
export class TunnelBrokenError extends Error {
  readonly code = 'TUNNEL_BROKEN'

  constructor (detail: string, options?: { cause?: Error }) {
    super(`the tunnel broke: ${detail}`, options)
    this.name = 'TunnelBrokenError'
  }
}

const HIGH_WATER_MARK_BYTES = 64 * KIB_BYTES

/**
 * Creates the socket of an open tunnel. Every end that is not an orderly one destroys it with an error.
 *
 * @param onBroken - called when the tunnel broke otherwise than by a reset of the connection to the target
 */
export function createTunnelSocket (stream: ClientHttp2Stream, onBroken: () => void): Duplex {
  let failure: Error | undefined
  let isEnded = false
  const { session } = stream

  const socket = new Duplex({
    highWaterMark: HIGH_WATER_MARK_BYTES,
    read: () => { stream.resume() },
    write: (chunk: Buffer, _encoding, done) => { stream.write(chunk, (cause) => done(toFailure(cause))) },
    final: (done) => { stream.end(() => done()) },
    destroy: (cause, done) => {
      resetStream(stream, new Error('tunnel closed'))
      done(cause)
    }
  })

  /** Errors of writes come before the close of the stream, but after the code that tells its reason. */
  function toFailure (cause: Error | null | undefined): Error | null {
    if (cause == null) return null
    return getFailure(cause)
  }

  function getFailure (cause?: Error): Error {
    // A session that breaks may give its streams the same code.
    const isTargetReset = stream.rstCode === TARGET_RESET_CODE && session?.destroyed === false
    if (isTargetReset) return new ConnectionResetError({ cause })
    return new TunnelBrokenError(`code ${stream.rstCode}`, { cause })
  }

  function fail (): void {
    if (socket.destroyed) return
    const cause = getFailure(failure)
    if (cause instanceof TunnelBrokenError) onBroken()
    // The bytes before the end are read first.
    setImmediate(() => socket.destroy(cause))
  }

  // The tunnel may break before its user listens, and an error event without a listener would end the process.
  socket.on('error', () => undefined)
  stream.on('error', (cause) => { failure ??= cause })
  stream.on('data', (chunk: Buffer) => {
    // What still arrives before the reset is dropped.
    if (!socket.destroyed && !socket.push(chunk)) stream.pause()
  })
  stream.once('end', () => {
    // A stream that is closed with its session, or by a reset without an error code, ends as well.
    if (stream.aborted || stream.rstCode !== constants.NGHTTP2_NO_ERROR) return
    isEnded = true
    if (!socket.destroyed) socket.push(null)
  })
  stream.once('close', () => { if (!isEnded) fail() })
  return socket
}
