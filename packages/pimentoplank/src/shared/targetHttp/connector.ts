/** Connector for HTTP clients that fails a response when its connection is reset, however the response is framed. */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** The other end reset the connection; unlike `ECONNRESET`, never taken for the regular end of a response. */
export class ConnectionResetError extends Error {
  readonly code = 'CONNECTION_RESET'

  constructor (options?: { cause?: Error }) {
    super('the connection was reset', options)
    this.name = 'ConnectionResetError'
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

/**
 * Makes every reset of a connection an error that the HTTP client reports.
 *
 * A response without a length or chunks ends with its connection. Two resets look like an orderly end there: undici
 * accepts `ECONNRESET`, and libuv reports the end of the stream when a reset arrives together with the last bytes.
 */
function watchSocket (socket: Socket, { onBytes, onReset }: Pick<ConnectorOptions, 'onBytes' | 'onReset'>): void {
  const push = socket.push.bind(socket)
  const destroy = socket.destroy.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null) onBytes?.()
    // After a reset, the socket no longer has a peer.
    if (chunk !== null || socket.remoteAddress !== undefined) return push(chunk, encoding)
    onReset?.()
    // The bytes before the reset are read first.
    setImmediate(() => destroy(new ConnectionResetError()))
    return false
  }
  socket.destroy = (cause) => {
    if (!isReset(cause)) return destroy(cause)
    onReset?.()
    return destroy(new ConnectionResetError({ cause }))
  }
}

function isReset (cause: Error | undefined): cause is Error {
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET'
}
