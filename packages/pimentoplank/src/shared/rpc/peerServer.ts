/** HTTP/2 server for the Connect services that peers call, and for the tunnels that they open to targets. */
import * as http2 from 'node:http2'
import type { AddressInfo } from 'node:net'
import { Code, ConnectError, type ConnectRouter, type Interceptor } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { MIB_BYTES } from '../constants'
import { createKeyCheck, PEER_KEY_HEADER, type PeerSecurity } from './peerSecurity'
import { createTunnelServer, type TunnelServerOptions } from './tunnelServer'
import { MAX_SESSION_MEMORY_MB } from './tunnelSession'

export interface PeerServerOptions {
  host: string
  /** TCP port; 0 selects a free one. */
  port: number
  security: PeerSecurity
  /** Registers the services of this process. */
  routes: (router: ConnectRouter) => void
  /** Lets peers open tunnels to targets; without it they are refused. */
  tunnels?: TunnelServerOptions
  /** Maximum size of a message, in bytes. */
  maxMessageBytes?: number
  /** Maximum number of connections; any others are closed. Each peer has one for its calls and one for tunnels. */
  maxConnections?: number
}

/** The largest messages hand over jobs, with the texts of their items. */
const MAX_MESSAGE_BYTES = 16 * MIB_BYTES
const MAX_CONNECTIONS = 1024
/** Maximum number of calls or tunnels at the same time on one connection. */
const MAX_STREAMS = 512

export interface PeerServer {
  /** IP address and port that the server listens on. */
  address: string
  /** Stops listening and closes open sessions. */
  close: () => Promise<void>
}

/** Starts the server; fails when its address can't be bound. */
export function createPeerServer (options: PeerServerOptions): ResultAsync<PeerServer, Error> {
  const { maxMessageBytes = MAX_MESSAGE_BYTES, maxConnections = MAX_CONNECTIONS } = options
  const handler = connectNodeAdapter({
    routes: options.routes,
    readMaxBytes: maxMessageBytes,
    interceptors: [createAuthInterceptor(options.security.sharedKey)]
  })
  const server = createHttp2Server(options.security, handler)
  server.maxConnections = maxConnections
  const tunnels = options.tunnels === undefined ? undefined : createTunnelServer(options.security, options.tunnels)
  if (tunnels !== undefined) server.on('connect', (req: http2.Http2ServerRequest) => tunnels.accept(req.stream, req.headers))
  const sessions = new Set<http2.Http2Session>()
  server.on('session', (session: http2.Http2Session) => {
    sessions.add(session)
    session.on('error', () => undefined)
    session.on('close', () => sessions.delete(session))
  })
  server.on('sessionError', () => undefined)

  const listening = new Promise<Error | undefined>((resolve) => {
    server.once('error', (cause: Error) => resolve(cause))
    server.listen(options.port, options.host, () => resolve(undefined))
  })
  return ResultAsync.fromSafePromise(listening).andThen((failure) => {
    if (failure !== undefined) return errAsync(failure)
    const { port } = server.address() as AddressInfo
    return okAsync({
      address: `${options.host}:${port}`,
      close: async () => {
        // A session that is destroyed closes its streams as if they had ended in an orderly way.
        tunnels?.close()
        await closeServer(server, sessions)
      }
    })
  })
}

type Http2Server = http2.Http2Server | http2.Http2SecureServer

function createHttp2Server (security: PeerSecurity, handler: ReturnType<typeof connectNodeAdapter>): Http2Server {
  const limits = { maxSessionMemory: MAX_SESSION_MEMORY_MB, settings: { maxConcurrentStreams: MAX_STREAMS } }
  if (security.tls === undefined) return http2.createServer(limits, handler)
  const { cert, key, ca } = security.tls
  return http2.createSecureServer({ cert, key, ca, requestCert: true, rejectUnauthorized: true, ...limits }, handler)
}

async function closeServer (server: Http2Server, sessions: Set<http2.Http2Session>): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  for (const session of sessions) session.destroy()
  await closed
}

function createAuthInterceptor (sharedKey: string): Interceptor {
  const isSharedKey = createKeyCheck(sharedKey)
  return (next) => async (req) => {
    if (!isSharedKey(req.header.get(PEER_KEY_HEADER) ?? undefined)) {
      throw new ConnectError('unknown peer key', Code.Unauthenticated)
    }
    return await next(req)
  }
}
