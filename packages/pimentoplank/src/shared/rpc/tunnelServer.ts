/** Opens connections to targets for peers that don't reach them, and carries their bytes. */
import type { IncomingHttpHeaders, ServerHttp2Session, ServerHttp2Stream } from 'node:http2'
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import { describeCause } from '../errors'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { ConnectionResetError } from '../targetHttp'
import { createKeyCheck, PEER_KEY_HEADER, type PeerSecurity } from './peerSecurity'
import {
  destroySession, INSTANCE_HEADER, MAX_TUNNELS, REASON_HEADER, SESSION_WINDOW_BYTES, STREAM_WINDOW_BYTES,
  TARGET_RESET_CODE, watchSession
} from './tunnelSession'

export interface TunnelServerOptions {
  /** True if the address belongs to a target; no other address is connected. */
  mayOpen: (address: string) => boolean
  /** True while this instance reaches the target without a peer, as a tunnel has one hop only. */
  isDirect: (address: string) => boolean
  /** Connects to a target, within its own timeout. */
  connect: (address: string, done: (cause: Error | null, socket?: Socket | null) => void) => void
  /** Counts a tunnel as in flight, so that a shutdown waits for it; returns the function that ends it. */
  track: () => () => void
  /** Maximum number of open tunnels. */
  maxTunnels?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface TunnelServer {
  /** Answers a request for a tunnel. */
  accept: (stream: ServerHttp2Stream, headers: IncomingHttpHeaders) => void
  /** Closes the sessions that carry tunnels. */
  close: () => void
}

const STATUS = { opened: 200, unknownKey: 401, unknownAddress: 403, targetFailed: 502, busy: 503 } as const
const NOT_PRINTABLE = /[^\x20-\x7e]/g
/** Longest peer name and address in a log line, in characters. */
const MAX_LOGGED_CHARS = 80

interface Tunnel {
  stream: ServerHttp2Stream
  peer: string
  address: string
  socket?: Socket
  openedAt: number
}

/** Creates the serving end of tunnels. */
export function createTunnelServer (security: PeerSecurity, options: TunnelServerOptions): TunnelServer {
  const { maxTunnels = MAX_TUNNELS, clock, metrics, log } = options
  const isSharedKey = createKeyCheck(security.sharedKey)
  const sessions = new Set<ServerHttp2Session>()
  const tunnels = new Set<Tunnel>()

  function accept (stream: ServerHttp2Stream, headers: IncomingHttpHeaders): void {
    // Each error is followed by the end of the stream, which is logged.
    stream.on('error', () => undefined)
    const address = String(headers[':authority'] ?? '')
    const tunnel: Tunnel = { stream, peer: getPeer(stream, headers), address, openedAt: clock.now() }
    if (!isSharedKey(headers[PEER_KEY_HEADER] as string | undefined)) return refuse(tunnel, 'unknownKey', 'unknown key')
    if (!options.mayOpen(address)) return refuse(tunnel, 'unknownAddress', 'no such target')
    if (tunnels.size >= maxTunnels) return refuse(tunnel, 'busy', 'too many tunnels')
    if (!options.isDirect(address)) return refuse(tunnel, 'busy', 'no direct path')
    prepareSession(stream.session as ServerHttp2Session | undefined)
    tunnels.add(tunnel)
    metrics.gauge('tunnels.open', tunnels.size)
    const endTracking = options.track()
    stream.once('close', () => {
      endTracking()
      end(tunnel)
    })
    options.connect(address, (cause, socket) => {
      if (socket == null) return handleConnectFailure(tunnel, cause)
      tunnel.socket = socket
      if (stream.destroyed || stream.closed) socket.destroy()
      else carry(tunnel, socket)
    })
  }

  function handleConnectFailure (tunnel: Tunnel, cause: Error | null): void {
    // Without a path of its own, this instance can't tell anything about the target.
    if (!options.isDirect(tunnel.address)) return refuse(tunnel, 'busy', 'no direct path')
    refuse(tunnel, 'targetFailed', describeCause(cause))
  }

  function refuse ({ stream, peer, address }: Tunnel, status: Exclude<keyof typeof STATUS, 'opened'>, reason: string): void {
    metrics.count(`tunnels.${status}`)
    log.info({ peer, target: shorten(address), status: STATUS[status], reason, open: tunnels.size }, 'tunnel refused')
    if (stream.destroyed || stream.closed) return
    stream.respond({ ':status': STATUS[status], [REASON_HEADER]: reason.replace(NOT_PRINTABLE, '?') }, { endStream: true })
  }

  function carry (tunnel: Tunnel, socket: Socket): void {
    const { stream, peer, address } = tunnel
    metrics.count('tunnels.opened')
    log.info({
      peer, target: address, tookMs: Math.round(clock.now() - tunnel.openedAt), open: tunnels.size
    }, 'tunnel opened')
    stream.respond({ ':status': STATUS.opened })
    // The reason is kept by the socket, whose end closes the tunnel.
    socket.on('error', () => undefined)
    socket.once('close', () => { if (!socket.readableEnded) reset(stream) })
    socket.pipe(stream)
    // Requests have a length. On a connection that both sides have ended, a reset could not be told from an end.
    stream.pipe(socket, { end: false })
  }

  /** Tells the peer that the connection broke, after the bytes that came before that. */
  function reset (stream: ServerHttp2Stream): void {
    const destroy = (): void => { stream.destroy(new ConnectionResetError()) }
    if (stream.writableLength === 0 || stream.closed) destroy()
    else stream.write('', destroy)
  }

  function end (tunnel: Tunnel): void {
    const { stream, peer, address, socket } = tunnel
    tunnels.delete(tunnel)
    metrics.gauge('tunnels.open', tunnels.size)
    if (socket === undefined) return
    const outcome = getOutcome(stream, socket)
    // If merely closed, a connection that hangs would still deliver what the peer has sent.
    if (socket.destroyed || socket.readableEnded) socket.destroy()
    else socket.resetAndDestroy()
    metrics.count(`tunnels.${outcome}`)
    metrics.count('tunnels.bytes', socket.bytesRead + socket.bytesWritten)
    log.info({
      peer,
      target: address,
      outcome,
      detail: socket.errored === null ? undefined : describeCause(socket.errored),
      bytesFromTarget: socket.bytesRead,
      bytesToTarget: socket.bytesWritten,
      ms: Math.round(clock.now() - tunnel.openedAt)
    }, 'tunnel ended')
  }

  function prepareSession (session: ServerHttp2Session | undefined): void {
    if (session === undefined || sessions.has(session)) return
    sessions.add(session)
    session.once('close', () => sessions.delete(session))
    session.setLocalWindowSize(SESSION_WINDOW_BYTES)
    session.settings({ initialWindowSize: STREAM_WINDOW_BYTES })
    const peer = session.socket.remoteAddress
    watchSession(session, () => log.info({ peer }, 'session of tunnels is dead'))
  }

  return {
    accept,
    close: () => {
      for (const session of [...sessions]) destroySession(session, 'this instance closes')
    }
  }
}

/** Returns how a tunnel ended: by its target, by a reset of the connection to the target, or by the peer. */
function getOutcome (stream: ServerHttp2Stream, socket: Socket): 'ended' | 'reset' | 'closedByPeer' {
  if (stream.rstCode === TARGET_RESET_CODE && socket.errored !== null) return 'reset'
  return socket.readableEnded && stream.writableFinished ? 'ended' : 'closedByPeer'
}

function getPeer ({ session }: ServerHttp2Stream, headers: IncomingHttpHeaders): string {
  const address = session?.socket.remoteAddress ?? ''
  return shorten(`${String(headers[INSTANCE_HEADER] ?? '')}@${address}`)
}

function shorten (text: string): string {
  return text.slice(0, MAX_LOGGED_CHARS)
}
