/** Pool of Connect transports to peers, with one HTTP/2 session per address. */
import type { ClientHttp2Session } from 'node:http2'
import type { Interceptor, Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { SECOND_MS } from '../constants'
import { PEER_KEY_HEADER, type PeerSecurity } from './peerSecurity'

/** A session whose peer does not respond to a ping within this time is replaced. */
const PING_TIMEOUT_MS = 2 * SECOND_MS
const PING_INTERVAL_MS = 5 * SECOND_MS
/** An idle session is closed after this time. */
const IDLE_CONNECTION_TIMEOUT_MS = 60 * SECOND_MS

export interface PeerTransportsOptions {
  security: PeerSecurity
  pingIntervalMs?: number
  pingTimeoutMs?: number
}

export interface PeerTransports {
  /**
   * Returns the transport to a peer, which is created on first use.
   *
   * @param address - IP address and port of the peer's peer server
   */
  get: (address: string) => Transport
  /** Closes the session with a peer; the next use opens a new one. */
  disconnect: (address: string) => void
  close: () => void
}

interface Connection {
  transport: Transport
  sessions: Http2SessionManager
}

/** Creates the transports of a process to its peers. */
export function createPeerTransports (options: PeerTransportsOptions): PeerTransports {
  const scheme = options.security.tls === undefined ? 'http' : 'https'
  const connections = new Map<string, Connection>()

  function connect (address: string): Connection {
    const baseUrl = `${scheme}://${address}`
    const sessions = new Http2SessionManager(baseUrl, {
      pingIntervalMs: options.pingIntervalMs ?? PING_INTERVAL_MS,
      pingTimeoutMs: options.pingTimeoutMs ?? PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS
    }, getSessionOptions(options.security))
    ignoreLateErrors(sessions)
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: sessions,
      useBinaryFormat: true,
      interceptors: [createKeyInterceptor(options.security.sharedKey)]
    })
    return { transport, sessions }
  }

  function closeSession (address: string): void {
    connections.get(address)?.sessions.abort()
    connections.delete(address)
  }

  return {
    get: (address) => {
      let connection = connections.get(address)
      if (connection === undefined) {
        connection = connect(address)
        connections.set(address, connection)
      }
      return connection.transport
    },
    disconnect: closeSession,
    close: () => {
      for (const address of [...connections.keys()]) closeSession(address)
    }
  }
}

/**
 * Adds an error listener to each session. A session that received GOAWAY emits an error when its socket closes; the
 * session manager may no longer track it by then, and an error event without a listener crashes the process.
 */
function ignoreLateErrors (sessions: Http2SessionManager): void {
  const request = sessions.request.bind(sessions)
  const handled = new WeakSet<ClientHttp2Session>()
  sessions.request = async (...args) => {
    const stream = await request(...args)
    const { session } = stream
    if (session !== undefined && !handled.has(session as ClientHttp2Session)) {
      handled.add(session as ClientHttp2Session)
      session.on('error', () => undefined)
    }
    return stream
  }
}

function getSessionOptions ({ tls }: PeerSecurity): ConstructorParameters<typeof Http2SessionManager>[2] {
  if (tls === undefined) return undefined
  // Peers are addressed by IP, so host names are not verified; trust rests on the certificate authority.
  return { ...tls, checkServerIdentity: () => undefined }
}

function createKeyInterceptor (sharedKey: string): Interceptor {
  return (next) => async (req) => {
    req.header.set(PEER_KEY_HEADER, sharedKey)
    return await next(req)
  }
}
