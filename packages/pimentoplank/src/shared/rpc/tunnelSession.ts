/** What both ends of the HTTP/2 sessions that carry tunnels have in common. */
import { constants, type Http2Session, type Http2Stream } from 'node:http2'
import { KIB_BYTES, MIB_BYTES, SECOND_MS } from '../constants'

/** Maximum number of tunnels that an instance carries; the last one that reaches targets must not drown. */
export const MAX_TUNNELS = 256
/** Unread bytes that one tunnel holds at each end. */
export const STREAM_WINDOW_BYTES = 256 * KIB_BYTES
/** With room for all tunnels, a tunnel that nobody reads does not stop the others. */
export const SESSION_WINDOW_BYTES = MAX_TUNNELS * STREAM_WINDOW_BYTES
/** Memory that one session may use, in units of 10^6 bytes. */
export const MAX_SESSION_MEMORY_MB = Math.ceil(SESSION_WINDOW_BYTES / MIB_BYTES)
/** Request header with the instance that asks for a tunnel. */
export const INSTANCE_HEADER = 'x-pimentoplank-instance'
/** Response header with the reason for a refusal. */
export const REASON_HEADER = 'x-pimentoplank-reason'

/**
 * Code of a stream whose connection to the target was reset. Streams are reset by being destroyed with an error, which
 * sends this code, since `close` sends the mark of an orderly end before its code.
 */
export const TARGET_RESET_CODE = constants.NGHTTP2_INTERNAL_ERROR

const PING_INTERVAL_MS = SECOND_MS / 2
/** Number of intervals without an answer after which a session is dead; a busy peer may pause for two of them. */
const MAX_MISSED_PINGS = 3

/** Closes a session; its streams are reset with a code that does not stand for their targets. */
export function destroySession (session: Http2Session, reason: string): void {
  session.destroy(new Error(reason), constants.NGHTTP2_CANCEL)
}

/**
 * Resets a stream, in the next turn of the event loop. A reset makes the session send all that it holds at once. While
 * the session is reading, which it is in events of its streams, that frees streams whose frames it is just handling,
 * and Node.js goes on with the freed memory.
 */
export function resetStream (stream: Http2Stream, cause: Error): void {
  setImmediate(() => stream.destroy(cause))
}

/** Destroys a session whose other end no longer answers. */
export function watchSession (session: Http2Session, onDead: () => void): void {
  let missed = 0
  const timer = setInterval(() => {
    if (session.destroyed) return
    if (missed >= MAX_MISSED_PINGS) {
      onDead()
      destroySession(session, 'the peer does not answer pings')
      return
    }
    missed += 1
    if (missed === 1) session.ping((cause) => { if (cause === null) missed = 0 })
  }, PING_INTERVAL_MS)
  timer.unref()
  session.once('close', () => clearInterval(timer))
}
