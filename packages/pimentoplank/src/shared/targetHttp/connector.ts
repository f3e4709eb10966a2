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

export interface ConnectorOptions {
  /** Bounds the time for establishing a connection, in milliseconds. */
  timeoutMs: number
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
}

/** Creates a connector. */
export function createConnector ({ timeoutMs, localAddress }: ConnectorOptions): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs, keepAlive: true })
  return (options, done) => connect({ ...options, localAddress }, (...result) => {
    if (result[0] === null) reportResets(result[1])
    done(...result)
  })
}

/**
 * Makes every reset of a connection an error that the HTTP client reports.
 *
 * A response without a length or chunks ends with its connection. Two resets look like an orderly end there: undici
 * accepts `ECONNRESET`, and libuv reports the end of the stream when a reset arrives together with the last bytes.
 */
function reportResets (socket: Socket): void {
  const push = socket.push.bind(socket)
  const destroy = socket.destroy.bind(socket)
  socket.push = (chunk, encoding) => {
    // After a reset, the socket no longer has a peer.
    if (chunk !== null || socket.remoteAddress !== undefined) return push(chunk, encoding)
    // The bytes before the reset are read first.
    setImmediate(() => destroy(new ConnectionResetError()))
    return false
  }
  socket.destroy = (cause) => destroy(isReset(cause) ? new ConnectionResetError({ cause }) : cause)
}

function isReset (cause: Error | undefined): cause is Error {
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET'
}
