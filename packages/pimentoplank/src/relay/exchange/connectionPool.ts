/** Pool of connections to targets, each of which carries one request at a time. */
import { once } from 'node:events'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { LRUCache } from 'lru-cache'
import type { Result } from 'neverthrow'
import { Client, errors, type Dispatcher } from 'undici'
import { hash32, isEnding, markDispatch, type Clock, type Metrics, type SendMark } from '../../shared'
import type { PathChoice, TargetPaths } from '../paths'
import type { OpenedConnection, OpenRequest, TargetConnector } from './targetConnector'

export interface ConnectionSettings {
  /** A connection that is idle for this long is closed, in milliseconds. */
  idleTimeoutMs: number
}

/** A connection that carries one request at a time. */
export interface TargetConnection {
  client: Client
  /** Dispatches a request; sets the mark right before the first byte is written to the socket. */
  dispatch: (options: Dispatcher.DispatchOptions & { mark: SendMark }, handler: Dispatcher.DispatchHandler) => void
  /** Resolves once the connection is established, can't be, or is closed. */
  opened: Promise<void>
  /** Set once the connection is established. */
  socket?: Duplex
  /** Peer through which it goes; undefined for a direct connection, and until it is established. */
  via?: string
  /** True if an earlier request was answered on it. */
  isReused: boolean
  /** Idle time before the current request, in milliseconds. */
  idleMs: number
  /** When the process at its other end started; undefined until it was asked. */
  processStartedAt?: number
  /** Hashes of the ids of the requests that it has carried; a late copy of an answer has one of these ids. */
  carried: Set<number>
}

export interface TargetConnectionPool {
  /** Returns an idle connection that has not carried the request before, or opens a new one. */
  acquire: (address: string, requestId: string) => TargetConnection
  /** Opens a new connection. */
  open: (address: string) => TargetConnection
  /** Returns a connection to the pool after its response was read to the end. */
  release: (address: string, connection: TargetConnection) => void
  /** Resets a connection, unless its other end has ended it: what the network has not delivered yet is discarded. */
  destroy: (connection: TargetConnection) => void
  /** Closes connections that are not established yet, so that their requests fail without having been sent. */
  dropConnecting: () => void
  /** Counts the idle connections that the target has ended between two times on the monotonic clock. */
  countDropped: (address: string, since: number, until: number) => number
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
/** A connection that has carried this many requests is not used again, which bounds the memory for their ids. */
const MAX_CARRIED = 256
/** Maximum of ended idle connections that are remembered for one address, and of such addresses. */
const MAX_DROPPED = 16
const MAX_DROPPED_ADDRESSES = 1000

/** Creates the connection pool of an instance. */
export function createTargetConnectionPool (options: {
  settings: ConnectionSettings
  connect: TargetConnector
  paths: TargetPaths
  clock: Clock
  metrics: Metrics
}): TargetConnectionPool {
  const { settings, connect, paths, clock, metrics } = options
  const idle = new Map<string, IdleConnection[]>()
  /** Open connections, each with what gives it up while it is being established. */
  const connections = new Map<TargetConnection, AbortController>()
  /** When the target at an address has ended idle connections, on the monotonic clock. */
  const dropped = new LRUCache<string, number[]>({ max: MAX_DROPPED_ADDRESSES })
  let shortenedTimeout: { ms: number, until: number } | undefined

  function getIdleTimeoutMs (): number {
    if (shortenedTimeout === undefined || shortenedTimeout.until <= clock.now()) return settings.idleTimeoutMs
    return shortenedTimeout.ms
  }

  function openConnection (address: string, choice: PathChoice = paths.choose(address)): TargetConnection {
    metrics.count('targets.connections')
    const closed = new AbortController()
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: NO_LIMIT,
      bodyTimeout: NO_LIMIT,
      keepAliveTimeout: settings.idleTimeoutMs,
      keepAliveMaxTimeout: settings.idleTimeoutMs,
      connect: (_options, done) => {
        opening.then((opened) => {
          if (opened.isErr()) return done(opened.error, null)
          failOnClose(opened.value.socket)
          done(null, opened.value.socket as Socket)
        }).catch((cause: Error) => done(cause, null))
      }
    })
    const opening = openSocket({ address, choice, signal: closed.signal }, (opened) => {
      connection.socket = opened.socket
      connection.via = opened.via
    })
    const dispatch = markDispatch(client.dispatch.bind(client))
    const connection: TargetConnection = {
      client,
      dispatch: (request, handler) => { dispatch(request, handler) },
      opened: Promise.race([opening, once(closed.signal, 'abort')]).then(() => undefined),
      isReused: false,
      idleMs: 0,
      carried: new Set()
    }
    client.on('disconnect', (_origin, _clients, cause) => {
      if (cause instanceof errors.SocketError) recordDropped(address, connection)
      closeConnection(connection)
    })
    client.on('connectionError', () => closeConnection(connection))
    connections.set(connection, closed)
    return connection
  }

  function recordDropped (address: string, connection: TargetConnection): void {
    const isIdle = idle.get(address)?.some((one) => one.connection === connection) === true
    if (!isIdle || !connections.has(connection)) return
    const times = [...dropped.get(address) ?? [], clock.now()]
    dropped.set(address, times.slice(-MAX_DROPPED))
  }

  /** Opens a socket; one that nobody waits for any more is closed at once. */
  async function openSocket (
    request: OpenRequest, onOpened: (opened: OpenedConnection) => void
  ): Promise<Result<OpenedConnection, Error>> {
    return await new Promise((resolve) => connect(request, (opened) => {
      if (opened.isOk() && request.signal.aborted) opened.value.socket.destroy()
      else if (opened.isOk()) onOpened(opened.value)
      resolve(opened)
    }))
  }

  function acquireConnection (address: string, requestId: string): TargetConnection {
    const list = pruneIdle(address)
    const direct = paths.isDirectUsable(address) ? takeLast(list, undefined, requestId) : undefined
    if (direct !== undefined) return direct
    const choice = paths.choose(address)
    if (choice.type === 'peer') return takeLast(list, choice.instance, requestId) ?? openConnection(address, choice)
    closeIdleTunnels(address, list)
    return openConnection(address, choice)
  }

  /** Closes the idle connections that can carry no request, and returns the others. */
  function pruneIdle (address: string): IdleConnection[] {
    const list = (idle.get(address) ?? []).filter(({ connection, since }) => {
      const isFresh = clock.now() - since < getIdleTimeoutMs()
      if (isFresh && isUsable(connection)) return true
      closeConnection(connection)
      return false
    })
    if (list.length > 0) idle.set(address, list)
    else idle.delete(address)
    return list
  }

  function closeIdleTunnels (address: string, list: IdleConnection[]): void {
    idle.set(address, list.filter(({ connection }) => connection.via === undefined))
    for (const { connection } of list) if (connection.via !== undefined) closeConnection(connection)
  }

  /**
   * Takes the connection that was used last, of those that have not carried the request.
   *
   * @param via - peer through which it goes; undefined for a direct one
   */
  function takeLast (
    list: IdleConnection[], via: string | undefined, requestId: string
  ): TargetConnection | undefined {
    const key = hash32(requestId)
    const index = list.findLastIndex(({ connection }) => connection.via === via && !connection.carried.has(key))
    if (index < 0) return undefined
    const [{ connection, since }] = list.splice(index, 1) as [IdleConnection]
    connection.idleMs = clock.now() - since
    connection.isReused = true
    return connection
  }

  function isUsable (connection: TargetConnection): boolean {
    const { socket } = connection
    return connections.has(connection) && socket?.writable === true && !isEnding(socket)
  }

  function closeConnection (connection: TargetConnection): void {
    connections.get(connection)?.abort()
    if (!connections.delete(connection)) return
    connection.client.destroy().catch(() => undefined)
    // The client has it only once a request was dispatched.
    connection.socket?.destroy()
  }

  /** A connection that is merely closed would still deliver its request once it no longer hangs. */
  function resetConnection (connection: TargetConnection): void {
    const { socket } = connection
    if (socket instanceof Socket && !socket.destroyed && !socket.readableEnded) socket.resetAndDestroy()
    closeConnection(connection)
  }

  return {
    acquire: acquireConnection,
    open: openConnection,
    release: (address, connection) => {
      if (!connections.has(connection)) return
      if (connection.carried.size >= MAX_CARRIED) return closeConnection(connection)
      const list = idle.get(address) ?? []
      list.push({ connection, since: clock.now() })
      idle.set(address, list)
    },
    destroy: resetConnection,
    countDropped: (address, since, until) =>
      (dropped.get(address) ?? []).filter((at) => at >= since && at <= until).length,
    dropConnecting: () => {
      for (const connection of [...connections.keys()]) if (connection.socket === undefined) closeConnection(connection)
    },
    isUsable,
    reportStale: ({ idleMs: observedMs }) => {
      metrics.count('targets.staleConnections')
      if (observedMs < MIN_STALE_IDLE_MS) return
      shortenedTimeout = {
        ms: Math.min(getIdleTimeoutMs(), observedMs * STALE_IDLE_SHARE), until: clock.now() + SHORTENED_TIMEOUT_MS
      }
    },
    close: () => { for (const connection of [...connections.keys()]) closeConnection(connection) }
  }
}

/**
 * Reports a close without an end or an error as an error. The client would take it for the end of an unframed body, and
 * ends the process by an assertion if it holds a part of that back.
 */
function failOnClose (socket: Duplex): void {
  socket.prependOnceListener('close', () => {
    if (!socket.readableEnded && socket.errored === null) socket.emit('error', new Error('the connection was closed'))
  })
}
