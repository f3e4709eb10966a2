/** Opens connections to targets: directly, or through a peer that reaches the target. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { err, ok, type Result } from 'neverthrow'
import {
  createConnector, describeCause, toConnectOptions, type Clock, type Log, type PeerTunnels
} from '../../shared'
import type { PathChoice, PathObserver, TargetPaths } from '../paths'

type ConnectCallback = (cause: Error | null, socket?: Socket | null) => void

/** Connects to a target without a peer. */
export type DirectConnector = (address: string, done: ConnectCallback) => void

/** Creates the connector for direct connections; what happens to them is told to the observer. */
export function createDirectConnector ({ timeoutMs, localAddress, connectors = createConnector, observer }: {
  /** Timeout for establishing a connection, in milliseconds. */
  timeoutMs: number
  /** IP address from which connections are made; by default the choice of the system. */
  localAddress?: string
  /** Creates the function that establishes connections; replaced by tests that cut an instance off. */
  connectors?: typeof createConnector
  observer: PathObserver
}): DirectConnector {
  return (address, done) => {
    let hasBytes = false
    const connect = connectors({
      timeoutMs,
      localAddress,
      onBytes: () => {
        if (!hasBytes) observer.recordConnected(address)
        hasBytes = true
        observer.recordBytes(address)
      },
      onReset: () => { if (!hasBytes) observer.recordConnectFailed(address) }
    })
    connect(toConnectOptions(address), (cause, socket) => {
      if (socket == null) observer.recordConnectFailed(address)
      done(cause, socket)
    })
  }
}

export interface OpenedConnection {
  socket: Duplex
  /** Peer through which it goes. */
  via?: string
}

export interface OpenRequest {
  address: string
  choice: PathChoice
  /** Aborted when the connection is no longer needed. */
  signal: AbortSignal
}

/** Opens a connection; the callback gets the error of the target if one was met, else that of the peer. */
export type TargetConnector = (request: OpenRequest, done: (opened: Result<OpenedConnection, Error>) => void) => void

export interface TargetConnectorOptions {
  connectDirect: DirectConnector
  paths: TargetPaths
  tunnels: PeerTunnels
  clock: Clock
  log: Log
}

/** Maximum number of peers that are asked for one connection. */
const MAX_ASKED_PEERS = 3

/**
 * Creates a connector that goes on to the next path when one fails, for as long as `paths` names another one. No
 * request is written before a connection is open, so that none runs twice by it.
 */
export function createTargetConnector (options: TargetConnectorOptions): TargetConnector {
  const { connectDirect, paths, tunnels, clock, log } = options

  return ({ address, choice: first, signal }, done) => {
    const asked = new Set<string>()
    let directFailure: Error | undefined

    function tryPath (choice: PathChoice): void {
      if (choice.type === 'direct') tryDirect()
      else tryPeer(choice).catch((cause: unknown) => log.error({ target: address, cause: describeCause(cause) }, 'connector failed'))
    }

    function tryDirect (): void {
      connectDirect(address, (cause, socket) => {
        if (socket != null) return done(ok({ socket }))
        directFailure = cause ?? new Error('no connection')
        goOn(directFailure)
      })
    }

    async function tryPeer ({ instance, peerAddress }: Extract<PathChoice, { type: 'peer' }>): Promise<void> {
      asked.add(instance)
      const startedAt = clock.now()
      const opened = await tunnels.open({ instance, peerAddress, address })
      const outcome = opened.isOk() ? 'connected' : opened.error.outcome
      log.info({
        target: address,
        via: instance,
        outcome,
        tookMs: Math.round(clock.now() - startedAt),
        detail: opened.isErr() ? describeCause(opened.error) : undefined
      }, 'connection through a peer')
      // What was seen of the peer counts also when the request that needed the connection did not wait for it.
      paths.recordPeerOutcome(instance, address, outcome)
      if (opened.isOk() && signal.aborted) {
        opened.value.destroy()
        done(err(new Error('connection given up')))
      } else if (opened.isOk()) done(ok({ socket: opened.value, via: instance }))
      else if (outcome === 'targetFailed') done(err(opened.error))
      else goOn(opened.error)
    }

    function goOn (failure: Error): void {
      const next = signal.aborted ? undefined : paths.choose(address)
      const isNew = next?.type === 'peer'
        ? !asked.has(next.instance) && asked.size < MAX_ASKED_PEERS
        : next !== undefined && directFailure === undefined
      if (isNew) tryPath(next!)
      else done(err(directFailure ?? failure))
    }

    tryPath(first)
  }
}
