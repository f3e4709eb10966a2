/** Connections to targets: one request at a time on each, kept for the next one. */
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { markDispatch, type Clock, type Metrics, type SendMark } from '../../shared'

export interface ConnectionSettings {
  /** Limit for making a connection, in milliseconds. */
  connectTimeoutMs: number
  /** A connection that was unused for this long is closed, in milliseconds. */
  keepIdleMs: number
}

/** A connection that carries one request at a time. */
export interface TargetConnection {
  client: Client
  /** Dispatches with a mark that is set right before the first byte goes out. */
  marked: (options: Dispatcher.DispatchOptions & { mark: SendMark }, handler: Dispatcher.DispatchHandler) => void
  /** Set once the connection is made. */
  socket?: Socket
  /** True when an earlier request was answered on it. */
  isReused: boolean
  /** How long it was unused before its present request, in milliseconds. */
  restedMs: number
}

export interface TargetConnections {
  /** Takes an unused connection, or makes one. */
  take: (address: string) => TargetConnection
  /** Keeps a connection whose answer was read to its end. */
  keep: (address: string, connection: TargetConnection) => void
  /** Ends a connection. */
  drop: (connection: TargetConnection) => void
  /** Notes that a kept connection was reset while it was unused; others are kept for less long then, for a while. */
  noteStale: (connection: TargetConnection) => void
  close: () => void
}

interface Idle {
  connection: TargetConnection
  since: number
}

const NO_LIMIT = 0
/** A reset after a shorter rest than this says nothing of how long targets keep connections, in milliseconds. */
const MIN_STALE_REST_MS = 50
/** Share of a rest that was too long which others may take. */
const STALE_REST_SHARE = 0.8
/** How long connections are kept for less long after one was found reset, in milliseconds. */
const REST_LIMIT_MS = 10_000

/** Creates the connections of an instance. */
export function createTargetConnections (options: {
  settings: ConnectionSettings
  clock: Clock
  metrics: Metrics
}): TargetConnections {
  const { settings, clock, metrics } = options
  const idle = new Map<string, Idle[]>()
  const all = new Set<TargetConnection>()
  let restLimit: { ms: number, until: number } | undefined

  function longestRestMs (): number {
    if (restLimit === undefined || restLimit.until <= clock.now()) return settings.keepIdleMs
    return restLimit.ms
  }

  function make (address: string): TargetConnection {
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
      marked: (what, handler) => { dispatch(what, handler) },
      isReused: false,
      restedMs: 0
    }
    client.on('disconnect', () => drop(connection))
    client.on('connectionError', () => drop(connection))
    all.add(connection)
    return connection
  }

  function take (address: string): TargetConnection {
    const list = idle.get(address) ?? []
    for (let entry = list.pop(); entry !== undefined; entry = list.pop()) {
      const { connection, since } = entry
      connection.restedMs = clock.now() - since
      const isFresh = connection.restedMs < longestRestMs()
      if (isFresh && all.has(connection) && connection.socket?.writable === true) {
        connection.isReused = true
        return connection
      }
      drop(connection)
    }
    return make(address)
  }

  function drop (connection: TargetConnection): void {
    if (!all.delete(connection)) return
    connection.client.destroy().catch(() => undefined)
  }

  return {
    take,
    keep: (address, connection) => {
      if (!all.has(connection)) return
      const list = idle.get(address) ?? []
      list.push({ connection, since: clock.now() })
      idle.set(address, list)
    },
    drop,
    noteStale: ({ restedMs }) => {
      metrics.count('targets.staleConnections')
      if (restedMs < MIN_STALE_REST_MS) return
      restLimit = { ms: Math.min(longestRestMs(), restedMs * STALE_REST_SHARE), until: clock.now() + REST_LIMIT_MS }
    },
    close: () => { for (const connection of [...all]) drop(connection) }
  }
}
