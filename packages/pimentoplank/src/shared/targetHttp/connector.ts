/** Connector for HTTP clients that fails a response when its connection breaks off, however the response is framed. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { buildConnector } from 'undici'
import { KIB_BYTES } from '../constants'
import { readSendQueue } from './sendQueue'

/** The other end reset the connection; unlike `ECONNRESET`, never taken for the regular end of a response. */
export class ConnectionResetError extends Error {
  readonly code = 'CONNECTION_RESET'

  constructor (options?: { cause?: Error }) {
    super('the connection was reset', options)
    this.name = 'ConnectionResetError'
  }
}

/** The other end ended the connection before it had taken all that was sent to it, or ended and then reset it. */
export class RequestCutError extends Error {
  readonly code = 'REQUEST_CUT'

  constructor () {
    super('the connection ended before the whole request was sent')
    this.name = 'RequestCutError'
  }
}

/** A connection was not established in time. */
class ConnectTimeoutError extends Error {
  readonly code = 'UND_ERR_CONNECT_TIMEOUT'
}

export interface ConnectorOptions {
  /** Timeout for establishing a connection, in milliseconds. */
  timeoutMs: number
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
  /** Called when bytes arrive on a connection. */
  onBytes?: () => void
  /** Called when the other end resets a connection. */
  onReset?: () => void
}

/**
 * Creates a connector. It keeps the timeout by a timer of its own: undici's fires up to a second late, and then only
 * destroys the socket.
 */
export function createConnector (
  { timeoutMs, localAddress, onBytes, onReset }: ConnectorOptions
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs, keepAlive: true })
  return (options, done) => {
    let isOver = false
    // Events of the socket that are due come first.
    const timer = setTimeout(() => setImmediate(() => {
      if (isOver) return
      isOver = true
      done(new ConnectTimeoutError(`no connection to ${options.hostname}:${options.port} within ${timeoutMs} ms`), null)
    }), timeoutMs)
    connect({ ...options, localAddress }, (...result) => {
      clearTimeout(timer)
      if (isOver) {
        result[1]?.destroy()
        return
      }
      isOver = true
      if (result[0] === null) watchSocket(result[1], { onBytes, onReset })
      done(...result)
    })
  }
}

/** Splits an IP address and port as the options of a connector. */
export function toConnectOptions (address: string): buildConnector.Options {
  const { host, hostname, port, protocol } = new URL(`http://${address}`)
  return { host, hostname: hostname.replace(/^\[|\]$/g, ''), port, protocol }
}

const ending = new WeakSet<Duplex>()

/** True for a connection that the other end has ended, while it is still being looked whether it took all. */
export function isEnding (socket: Duplex): boolean {
  return ending.has(socket)
}

/** A system takes at least this much for its process; shorter requests are not looked after, in bytes. */
const MIN_LONG_BYTES = 32 * KIB_BYTES

/**
 * Makes every reset of a connection, and every end before the request was taken, an error that the HTTP client reports.
 *
 * A response without a length or chunks ends with its connection. Two resets look like an orderly end there: undici
 * accepts `ECONNRESET`, and libuv reports the end of the stream when a reset arrives together with the last bytes.
 */
function watchSocket (socket: Socket, { onBytes, onReset }: Pick<ConnectorOptions, 'onBytes' | 'onReset'>): void {
  const push = socket.push.bind(socket)
  const destroy = socket.destroy.bind(socket)
  /** Number of bytes written when bytes arrived last, and between that and the time before. */
  let writtenBefore = 0
  let lastBytes = 0

  function end (): void {
    push(null)
    socket.read(0)
  }

  socket.push = (chunk, encoding) => {
    const { bytesWritten } = socket
    if (bytesWritten > writtenBefore) lastBytes = bytesWritten - writtenBefore
    writtenBefore = bytesWritten
    if (chunk !== null) {
      onBytes?.()
      return push(chunk, encoding)
    }
    // After a reset, the socket no longer has a peer.
    if (socket.remoteAddress === undefined) {
      onReset?.()
      // The bytes before the reset are read first.
      setImmediate(() => destroy(new ConnectionResetError()))
      return false
    }
    if (lastBytes < MIN_LONG_BYTES) return push(null)
    ending.add(socket)
    findCut(socket)
      .then((cut) => {
        if (socket.destroyed) return
        if (cut === undefined) end()
        else destroy(cut)
      })
      .catch(destroy)
    return false
  }
  socket.destroy = (cause) => {
    if (!isReset(cause)) return destroy(cause)
    onReset?.()
    return destroy(new ConnectionResetError({ cause }))
  }
}

/**
 * Looks whether the other end has acknowledged all that was written. Its end of the connection acknowledges what it had
 * received before, so that anything left shows that its process can't have read it all.
 */
async function findCut (socket: Socket): Promise<RequestCutError | undefined> {
  if (socket.writableLength > 0) return new RequestCutError()
  const queue = await readSendQueue(socket)
  // The list may miss a line while others change.
  if (queue === 'unlisted' && await readSendQueue(socket) === 'unlisted') return new RequestCutError()
  return typeof queue === 'number' && queue > 0 ? new RequestCutError() : undefined
}

function isReset (cause: Error | undefined): cause is Error {
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET'
}
