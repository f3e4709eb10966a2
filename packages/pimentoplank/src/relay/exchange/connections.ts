/** Pool of connections to targets, each of which carries one request at a time. */
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { markDispatch, type Clock, type Metrics, type SendMark } from '../../shared'

export interface ConnectionSettings {
  /** Timeout for establishing a connection, in milliseconds. */
  connectTimeoutMs: number
  /** A connection that is idle for this long is closed, in milliseconds. */
  keepIdleMs: number
}

/** A connection that carries one request at a time. */
export interface TargetConnection {
  client: Client
  /** Dispatches a request; sets the mark right before the first byte is written to the socket. */
  marked: (options: Dispatcher.DispatchOptions & { mark: SendMark }, handler: Dispatcher.DispatchHandler) => void
  /** Set once the connection is established. */
  socket?: Socket
  /** True if an earlier request was answered on it. */
  isReused: boolean
  /** Idle time before the current request, in milliseconds. */
  restedMs: number
}

export interface TargetConnections {
  /** Returns an idle connection, or opens a new one. */
  take: (address: string) => TargetConnection
  /** Returns a connection to the pool after its response was read to the end. */
  keep: (address: string, connection: TargetConnection) => void
  /** Closes a connection. */
  drop: (connection: TargetConnection) => void
  /** Reports that a pooled connection was reset while idle; the idle timeout of all is shortened for a while. */
  noteStale: (connection: TargetConnection) => void
  close: () => void
}

interface IdleConnection {
  connection: TargetConnection
  since: number
}

const NO_LIMIT = 0
/** A reset after a shorter idle time than this, in milliseconds, is no evidence of the idle timeout of targets. */
const MIN_STALE_IDLE_MS = 50
/** New idle timeout as a share of the idle time after which a connection was reset. */
const STALE_IDLE_SHARE = 0.8
/** Time for which a shortened idle timeout applies, in milliseconds. */
const SHORTENED_TIMEOUT_MS = 10_000

/** Creates the connection pool of an instance. */
export function createTargetConnections (options: {
  settings: ConnectionSettings
  clock: Clock
  metrics: Metrics
}): TargetConnections {
  const { settings, clock, metrics } = options
  const idle = new Map<string, IdleConnection[]>()
  const connections = new Set<TargetConnection>()
  let shortenedTimeout: { ms: number, until: number } | undefined

  function getIdleTimeoutMs (): number {
    if (shortenedTimeout === undefined || shortenedTimeout.until <= clock.now()) return settings.keepIdleMs
    return shortenedTimeout.ms
  }

  function openConnection (address: string): TargetConnection {
    metrics.count('targets.connections')
    const connector = buildConnector({ timeout: settings.connectTimeoutMs, keepAlive: true })
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: NO_LIMIT,
      bodyTimeout: NO_LIMIT,
      keepAliveTimeout: settings.keepIdleMs,
      keepAliveMaxTimeout: settings.keepIdleMs,
      connect: (connectOptions, done) => connector(connectOptions, (...result) => {
        if (result[1] !== null) connection.socket = result[1]
        done(...result)
      })
    })
    const dispatch = markDispatch(client.dispatch.bind(client))
    const connection: TargetConnection = {
      client,
      marked: (request, handler) => { dispatch(request, handler) },
      isReused: false,
      restedMs: 0
    }
    client.on('disconnect', () => closeConnection(connection))
    client.on('connectionError', () => closeConnection(connection))
    connections.add(connection)
    return connection
  }

  function acquireConnection (address: string): TargetConnection {
    const list = idle.get(address) ?? []
    for (let entry = list.pop(); entry !== undefined; entry = list.pop()) {
      const { connection, since } = entry
      connection.restedMs = clock.now() - since
      const isFresh = connection.restedMs < getIdleTimeoutMs()
      if (isFresh && connections.has(connection) && connection.socket?.writable === true) {
        connection.isReused = true
        return connection
      }
      closeConnection(connection)
    }
    return openConnection(address)
  }

  function closeConnection (connection: TargetConnection): void {
    if (!connections.delete(connection)) return
    connection.client.destroy().catch(() => undefined)
  }

  return {
    take: acquireConnection,
    keep: (address, connection) => {
      if (!connections.has(connection)) return
      const list = idle.get(address) ?? []
      list.push({ connection, since: clock.now() })
      idle.set(address, list)
    },
    drop: closeConnection,
    noteStale: ({ restedMs: observedMs }) => {
      metrics.count('targets.staleConnections')
      if (observedMs < MIN_STALE_IDLE_MS) return
      shortenedTimeout = {
        ms: Math.min(getIdleTimeoutMs(), observedMs * STALE_IDLE_SHARE), until: clock.now() + SHORTENED_TIMEOUT_MS
      }
    },
    close: () => { for (const connection of [...connections]) closeConnection(connection) }
  }
}
