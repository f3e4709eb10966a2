/**
 * Connections to targets that are opened by peers: HTTP/2 CONNECT, one stream for each connection.
 *
 * The end of a stream tells how the connection ended: in an orderly way (END_STREAM), by a reset of the connection to
 * the target (INTERNAL_ERROR), or with the peer. Only the first may pass for the end of a body without a length.
 */
import * as http2 from 'node:http2'
import type { Duplex } from 'node:stream'
import { err, ok, type Result } from 'neverthrow'
import { SECOND_MS } from '../constants'
import { describeCause } from '../errors'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { PEER_KEY_HEADER, type PeerSecurity } from './peerSecurity'
import {
  destroySession, INSTANCE_HEADER, MAX_SESSION_MEMORY_MB, MAX_TUNNELS, REASON_HEADER, resetStream,
  SESSION_WINDOW_BYTES, STREAM_WINDOW_BYTES, watchSession
} from './tunnelSession'
import { createTunnelSocket, TunnelBrokenError } from './tunnelSocket'

/** Timeout for the session with the peer and the peer's connection to the target together, in milliseconds. */
const TUNNEL_OPEN_TIMEOUT_MS = 400
/** A session without tunnels is closed after this time. */
const IDLE_SESSION_TIMEOUT_MS = 10 * SECOND_MS

export interface PeerTunnelsOptions {
  /** Id of this instance. */
  self: string
  security: PeerSecurity
  metrics: Metrics
  log: Log
  /** Timeout for opening a tunnel, in milliseconds. */
  openTimeoutMs?: number
  /** A session without tunnels is closed after this time, in milliseconds. */
  idleTimeoutMs?: number
}

export interface TunnelRequest {
  /** Id of the peer. */
  instance: string
  /** IP address and port of the peer's peer server. */
  peerAddress: string
  /** IP address and port of the target. */
  address: string
}

export interface PeerTunnels {
  /** Opens a connection to a target through a peer. */
  open: (request: TunnelRequest) => Promise<Result<Duplex, TunnelRefusedError>>
  close: () => void
}

/** There is no tunnel: the peer could not be reached or refused, or it could not connect to the target. */
export class TunnelRefusedError extends Error {
  readonly outcome: 'peerFailed' | 'targetFailed'

  constructor (outcome: 'peerFailed' | 'targetFailed', { instance, address }: TunnelRequest, detail: string) {
    super(`${outcome === 'peerFailed' ? 'no tunnel' : 'target not reached'} through ${instance} to ${address}: ${detail}`)
    this.name = 'TunnelRefusedError'
    this.outcome = outcome
  }
}

export { TunnelBrokenError }

/** Tells whether an error says something of the peer of a tunnel only, and nothing of the target. */
export function isPeerFailure (cause: unknown): boolean {
  return cause instanceof TunnelBrokenError || (cause instanceof TunnelRefusedError && cause.outcome === 'peerFailed')
}

interface TunnelSession {
  http: http2.ClientHttp2Session
  tunnels: number
  idleTimer?: NodeJS.Timeout
}

const STATUS_OK = 200
const STATUS_TARGET_FAILED = 502

/** Creates the tunnels of an instance, with one session for each peer that is apart from that of the calls. */
export function createPeerTunnels (options: PeerTunnelsOptions): PeerTunnels {
  const {
    security, metrics, log, openTimeoutMs = TUNNEL_OPEN_TIMEOUT_MS, idleTimeoutMs = IDLE_SESSION_TIMEOUT_MS
  } = options
  const sessions = new Map<string, TunnelSession>()

  function getSession (peerAddress: string): TunnelSession {
    const known = sessions.get(peerAddress)
    if (known !== undefined && !known.http.closed && !known.http.destroyed) return known
    const http = connectSession(peerAddress, security)
    const session: TunnelSession = { http, tunnels: 0 }
    sessions.set(peerAddress, session)
    http.once('connect', () => {
      // A session that was destroyed while it connected still tells that it is connected.
      if (http.destroyed) return
      http.setLocalWindowSize(SESSION_WINDOW_BYTES)
      watchSession(http, () => log.info({ peer: peerAddress, tunnels: session.tunnels }, 'session of tunnels is dead'))
    })
    // Each stream reports what broke it.
    http.on('error', () => undefined)
    http.once('close', () => {
      clearTimeout(session.idleTimer)
      if (sessions.get(peerAddress) === session) sessions.delete(peerAddress)
    })
    return session
  }

  function scheduleClose (session: TunnelSession): void {
    session.tunnels -= 1
    if (session.tunnels > 0) return
    session.idleTimer = setTimeout(() => session.http.close(), idleTimeoutMs).unref()
  }

  async function open (request: TunnelRequest): Promise<Result<Duplex, TunnelRefusedError>> {
    const opened = await openSocket(request)
      .catch((cause: unknown) => err(new TunnelRefusedError('peerFailed', request, describeCause(cause))))
    metrics.count(`peerTunnels.${opened.isOk() ? 'connected' : opened.error.outcome}`)
    return opened
  }

  async function openSocket (request: TunnelRequest): Promise<Result<Duplex, TunnelRefusedError>> {
    const { peerAddress, address } = request
    const session = getSession(peerAddress)
    const stream = session.http.request({
      ':method': 'CONNECT',
      ':authority': address,
      [PEER_KEY_HEADER]: security.sharedKey,
      [INSTANCE_HEADER]: options.self
    })
    clearTimeout(session.idleTimer)
    session.tunnels += 1
    stream.once('close', () => scheduleClose(session))
    return await new Promise((resolve) => {
      let failure: Error | undefined
      const onClose = (): void => settleFailed(
        'peerFailed', failure === undefined ? 'the session closed' : describeCause(failure)
      )
      const timer = setTimeout(() => {
        settleFailed('peerFailed', `no answer within ${openTimeoutMs} ms`)
        if (session.http.connecting) destroySession(session.http, 'the peer is not reached')
      }, openTimeoutMs)

      function settleFailed (outcome: TunnelRefusedError['outcome'], detail: string): void {
        clearTimeout(timer)
        // An answer may still come before the reset.
        stream.off('response', onResponse)
        resetStream(stream, new Error('no tunnel'))
        resolve(err(new TunnelRefusedError(outcome, request, detail)))
      }

      function onResponse (headers: http2.IncomingHttpHeaders & http2.IncomingHttpStatusHeader): void {
        const status = headers[':status']
        if (status === STATUS_OK) {
          clearTimeout(timer)
          stream.off('close', onClose)
          // The stream may end in this turn of the event loop already.
          resolve(ok(createTunnelSocket(stream, () => metrics.count('peerTunnels.broken'))))
          return
        }
        const reason = String(headers[REASON_HEADER] ?? '')
        settleFailed(status === STATUS_TARGET_FAILED ? 'targetFailed' : 'peerFailed', `status ${status} ${reason}`)
      }

      stream.on('error', (cause) => { failure ??= cause })
      stream.once('close', onClose)
      stream.once('response', onResponse)
    })
  }

  return {
    open,
    close: () => { for (const { http } of [...sessions.values()]) destroySession(http, 'this instance closes') }
  }
}

function connectSession (peerAddress: string, { tls }: PeerSecurity): http2.ClientHttp2Session {
  return http2.connect(`${tls === undefined ? 'http' : 'https'}://${peerAddress}`, {
    settings: { initialWindowSize: STREAM_WINDOW_BYTES, enablePush: false },
    peerMaxConcurrentStreams: MAX_TUNNELS,
    maxSessionMemory: MAX_SESSION_MEMORY_MB,
    ...tls,
    // Peers are addressed by IP, so host names are not verified; trust rests on the certificate authority.
    checkServerIdentity: () => undefined
  })
}
