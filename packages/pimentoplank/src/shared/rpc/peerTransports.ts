/** Connections to peer processes, one HTTP/2 session for each address. */
import type { ClientHttp2Session } from 'node:http2'
import type { Interceptor, Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { SECOND_MS } from '../constants'
import { PEER_KEY_HEADER, type PeerSecurity } from './peerSecurity'

/** A session that answers no ping for this long is replaced. */
const PING_TIMEOUT_MS = 2 * SECOND_MS
const PING_INTERVAL_MS = 5 * SECOND_MS
/** A session that nobody uses is closed after this time. */
const IDLE_CONNECTION_TIMEOUT_MS = 60 * SECOND_MS

export interface PeerTransportsOptions {
  security: PeerSecurity
  pingIntervalMs?: number
  pingTimeoutMs?: number
}

export interface PeerTransports {
  /**
   * The transport to a peer; made on first use.
   *
   * @param address - IP number and port of the peer's peer server
   */
  to: (address: string) => Transport
  /** Ends the session with a peer. */
  drop: (address: string) => void
  close: () => void
}

interface Connection {
  transport: Transport
  sessions: Http2SessionManager
}

/** Creates the connections of a process to its peers. */
export function createPeerTransports (options: PeerTransportsOptions): PeerTransports {
  const scheme = options.security.tls === undefined ? 'http' : 'https'
  const connections = new Map<string, Connection>()

  function connect (address: string): Connection {
    const baseUrl = `${scheme}://${address}`
    const sessions = new Http2SessionManager(baseUrl, {
      pingIntervalMs: options.pingIntervalMs ?? PING_INTERVAL_MS,
      pingTimeoutMs: options.pingTimeoutMs ?? PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS
    }, sessionOptions(options.security))
    catchLateErrors(sessions)
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: sessions,
      useBinaryFormat: true,
      interceptors: [createKeySender(options.security.sharedKey)]
    })
    return { transport, sessions }
  }

  function drop (address: string): void {
    connections.get(address)?.sessions.abort()
    connections.delete(address)
  }

  return {
    to: (address) => {
      let connection = connections.get(address)
      if (connection === undefined) {
        connection = connect(address)
        connections.set(address, connection)
      }
      return connection.transport
    },
    drop,
    close: () => {
      for (const address of [...connections.keys()]) drop(address)
    }
  }
}

/**
 * A session that was told to go away emits an error when its socket closes. The manager may have let go of it by then,
 * and an error without a listener ends the process.
 */
function catchLateErrors (sessions: Http2SessionManager): void {
  const request = sessions.request.bind(sessions)
  const caught = new WeakSet<ClientHttp2Session>()
  sessions.request = async (...args) => {
    const stream = await request(...args)
    const { session } = stream
    if (session !== undefined && !caught.has(session as ClientHttp2Session)) {
      caught.add(session as ClientHttp2Session)
      session.on('error', () => undefined)
    }
    return stream
  }
}

function sessionOptions ({ tls }: PeerSecurity): ConstructorParameters<typeof Http2SessionManager>[2] {
  if (tls === undefined) return undefined
  // Peers are known by IP number; the certificate authority is what is trusted.
  return { ...tls, checkServerIdentity: () => undefined }
}

function createKeySender (sharedKey: string): Interceptor {
  return (next) => async (req) => {
    req.header.set(PEER_KEY_HEADER, sharedKey)
    return await next(req)
  }
}
