/** Pool of connections to targets, each of which carries one request at a time. */
import type { Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { createConnector, markDispatch, type Clock, type Metrics, type SendMark } from '../../shared'

export interface ConnectionSettings {
  /** Timeout for establishing a connection, in milliseconds. */
  connectTimeoutMs: number
  /** A connection that is idle for this long is closed, in milliseconds. */
  idleTimeoutMs: number
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
}

/** A connection that carries one request at a time. */
export interface TargetConnection {
  client: Client
  /** Dispatches a request; sets the mark right before the first byte is written to the socket. */
  dispatch: (options: Dispatcher.DispatchOptions & { mark: SendMark }, handler: Dispatcher.DispatchHandler) => void
  /** Set once the connection is established. */
  socket?: Socket
  /** True if an earlier request was answered on it. */
  isReused: boolean
  /** Idle time before the current request, in milliseconds. */
  idleMs: number
  /** When the process at its other end started; undefined until it was asked. */
  processStartedAt?: number
}

export interface TargetConnectionPool {
  /** Returns an idle connection, or opens a new one. */
  acquire: (address: string) => TargetConnection
  /** Opens a new connection. */
  open: (address: string) => TargetConnection
  /** Returns a connection to the pool after its response was read to the end. */
  release: (address: string, connection: TargetConnection) => void
  /** Closes a connection. */
  destroy: (connection: TargetConnection) => void
  /** True while a connection can carry a request. */
  isUsable: (connection: TargetConnection) => boolean
  /** Reports that a pooled connection was reset while idle; the idle timeout of all is shortened for a while. */
  reportStale: (connection: TargetConnection) => void
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
export function createTargetConnectionPool (options: {
  settings: ConnectionSettings
  /** Creates the function that establishes connections; replaced by tests that cut an instance off. */
  connectors?: typeof createConnector
  clock: Clock
  metrics: Metrics
}): TargetConnectionPool {
  const { settings, connectors = createConnector, clock, metrics } = options
  const idle = new Map<string, IdleConnection[]>()
  const connections = new Set<TargetConnection>()
  let shortenedTimeout: { ms: number, until: number } | undefined

  function getIdleTimeoutMs (): number {
    if (shortenedTimeout === undefined || shortenedTimeout.until <= clock.now()) return settings.idleTimeoutMs
    return shortenedTimeout.ms
  }

  function openConnection (address: string): TargetConnection {
    metrics.count('targets.connections')
    const connect = connectors({ timeoutMs: settings.connectTimeoutMs, localAddress: settings.localAddress })
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: NO_LIMIT,
      bodyTimeout: NO_LIMIT,
      keepAliveTimeout: settings.idleTimeoutMs,
      keepAliveMaxTimeout: settings.idleTimeoutMs,
      connect: (connectOptions, done) => connect(connectOptions, (...result) => {
        if (result[0] === null) connection.socket = result[1]
        done(...result)
      })
    })
    const dispatch = markDispatch(client.dispatch.bind(client))
    const connection: TargetConnection = {
      client,
      dispatch: (request, handler) => { dispatch(request, handler) },
      isReused: false,
      idleMs: 0
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
      connection.idleMs = clock.now() - since
      const isFresh = connection.idleMs < getIdleTimeoutMs()
      if (isFresh && isUsable(connection)) {
        connection.isReused = true
        return connection
      }
      closeConnection(connection)
    }
    return openConnection(address)
  }

  function isUsable (connection: TargetConnection): boolean {
    return connections.has(connection) && connection.socket?.writable === true
  }

  function closeConnection (connection: TargetConnection): void {
    if (!connections.delete(connection)) return
    connection.client.destroy().catch(() => undefined)
  }

  return {
    acquire: acquireConnection,
    open: openConnection,
    release: (address, connection) => {
      if (!connections.has(connection)) return
      const list = idle.get(address) ?? []
      list.push({ connection, since: clock.now() })
      idle.set(address, list)
    },
    destroy: closeConnection,
    isUsable,
    reportStale: ({ idleMs: observedMs }) => {
      metrics.count('targets.staleConnections')
      if (observedMs < MIN_STALE_IDLE_MS) return
      shortenedTimeout = {
        ms: Math.min(getIdleTimeoutMs(), observedMs * STALE_IDLE_SHARE), until: clock.now() + SHORTENED_TIMEOUT_MS
      }
    },
    close: () => { for (const connection of [...connections]) closeConnection(connection) }
  }
}
