/** A peer that opens tunnels to a target, and an instance that asks it for them. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Result } from 'neverthrow'
import { generate } from 'selfsigned'
import { Client } from 'undici'
import {
  createInMemoryMetrics, createPeerServer, createPeerTunnels, createSilentLog, createSystemClock,
  type Metrics, type PeerSecurity, type PeerServer, type PeerTunnels, type PeerTunnelsOptions, type TunnelRefusedError
} from '../../src/shared'
import { ConnectionResetError, createConnector, toConnectOptions } from '../../src/shared/targetHttp'
import { openTcpLink, type TcpLink } from './tcpLink'

/** What a target does with a connection. */
export type Behaviour = (socket: Socket) => void

/** State of a scenario. */
export interface TunnelWorld {
  security: PeerSecurity
  peer: PeerServer
  link: TcpLink
  links: TcpLink[]
  metrics: Metrics
  target: Server
  targetAddress: string
  /** Connections to the target, by the order in which they were opened. */
  sockets: Socket[]
  behave: Behaviour
  isDirect: boolean
  /** True while the peer's connections to the target are reset as soon as they are open. */
  isResetAtOnce: boolean
  /** Number of tunnels for which a shutdown of the peer waits. */
  tracked: number
  tunnels: PeerTunnels
  otherTunnels: PeerTunnels[]
  openSockets: Duplex[]
  posted: Buffer
  received: Buffer
  sent: Buffer
  failure?: Error
  asked: Result<Duplex, TunnelRefusedError>
  heldUp: Array<Result<Duplex, TunnelRefusedError>>
  /** Turns of the event loop after which a tunnel that was closed is reset. */
  resetAfterTurns: number
}

const KEY = 'shared-key-of-the-peers'
/** Number of tunnels that the peer carries. */
export const MAX_TUNNELS = 32
/** Time within which something happens soon, in milliseconds. */
export const SOON_MS = 5000
const STEP_MS = 5
/** Address that refuses connections. */
export const FREE_PORT_ADDRESS = '127.0.0.1:1'
/** Head of an answer without a length. */
export const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n'

function createCertificate (): NonNullable<PeerSecurity['tls']> {
  const { cert, private: key } = generate([{ name: 'commonName', value: 'peer' }], {
    keySize: 2048, algorithm: 'sha256'
  })
  return { cert: Buffer.from(cert), key: Buffer.from(key), ca: Buffer.from(cert) }
}

const SECURITY_BY_NAME: Record<string, PeerSecurity> = {
  'a shared key': { sharedKey: KEY },
  certificates: { sharedKey: KEY, tls: createCertificate() }
}

/** Resolves when a condition holds; fails with `what` if it does not in time. */
export async function eventually (isTrue: () => boolean, withinMs: number, what: () => string): Promise<void> {
  const end = performance.now() + withinMs
  while (!isTrue()) {
    if (performance.now() > end) assert.fail(what())
    await sleep(STEP_MS)
  }
}

/** Creates the tunnels of an instance that asks the peer. */
export function createTunnels (world: TunnelWorld, options: Partial<PeerTunnelsOptions> = {}): PeerTunnels {
  return createPeerTunnels({
    self: 'asking', security: world.security, metrics: createInMemoryMetrics(), log: createSilentLog(), ...options
  })
}

/** Starts the target and the peer, with a shared key or certificates. */
export async function startPeer (world: TunnelWorld, name: string): Promise<void> {
  world.security = SECURITY_BY_NAME[name]!
  world.sockets = []
  world.openSockets = []
  world.otherTunnels = []
  world.isDirect = true
  world.isResetAtOnce = false
  world.tracked = 0
  world.sent = Buffer.alloc(0)
  world.behave = () => undefined
  world.target = createServer((socket) => {
    world.sockets.push(socket)
    socket.on('error', () => undefined)
    world.behave(socket)
  })
  world.target.listen(0, '127.0.0.1')
  await once(world.target, 'listening')
  world.targetAddress = `127.0.0.1:${(world.target.address() as AddressInfo).port}`
  world.metrics = createInMemoryMetrics()
  const connect = createConnector({ timeoutMs: 250 })
  const started = await createPeerServer({
    host: '127.0.0.1',
    port: 0,
    security: world.security,
    routes: () => undefined,
    tunnels: {
      mayOpen: (address) => address === world.targetAddress || address === FREE_PORT_ADDRESS,
      isDirect: () => world.isDirect,
      connect: (address, done) => connect(toConnectOptions(address), (cause, socket) => {
        done(cause, socket)
        if (world.isResetAtOnce) socket?.destroy(new ConnectionResetError())
      }),
      track: () => {
        world.tracked += 1
        return () => { world.tracked -= 1 }
      },
      maxTunnels: MAX_TUNNELS,
      clock: createSystemClock(),
      metrics: world.metrics,
      log: createSilentLog()
    }
  })
  world.peer = started._unsafeUnwrap()
  world.link = await openTcpLink(world.peer.address)
  world.tunnels = createTunnels(world)
}

/** Opens a tunnel to the target. */
export async function openTunnel (world: TunnelWorld): Promise<Duplex> {
  const opened = await world.tunnels.open({
    instance: 'peer', peerAddress: world.link.address, address: world.targetAddress
  })
  const socket = opened._unsafeUnwrap()
  socket.on('error', () => undefined)
  world.openSockets.push(socket)
  return socket
}

/** Sends a request through a tunnel with the HTTP client that the relay uses, and reads the answer. */
export async function exchange (world: TunnelWorld, body?: Buffer): Promise<void> {
  const socket = await openTunnel(world)
  const client = new Client(`http://${world.targetAddress}`, {
    connect: (_options, done) => { setImmediate(() => done(null, socket as Socket)) }, pipelining: 1
  })
  const chunks: Buffer[] = []
  try {
    const res = await client.request({ method: 'POST', path: '/', body })
    for await (const chunk of res.body) chunks.push(chunk)
  } catch (cause) {
    world.failure = cause as Error
  }
  world.received = Buffer.concat(chunks)
  await client.destroy()
}

/** Reads a request with a body of a known length, and sends the body back. */
export function createEcho (length: number, framing: string): Behaviour {
  return (socket) => {
    const chunks: Buffer[] = []
    let bytes = 0
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      bytes += chunk.length
      const all = bytes < length ? undefined : Buffer.concat(chunks)
      const bodyAt = all?.indexOf('\r\n\r\n') ?? -1
      if (all === undefined || all.length - bodyAt - 4 < length) return
      const head = framing === 'length'
        ? `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\nConnection: close\r\n\r\n`
        : UNFRAMED_HEAD
      socket.write(head)
      socket.end(all.subarray(bodyAt + 4))
    })
  }
}

/** Asks the peer for a tunnel; by default with the shared key and to the target. */
export async function ask (
  world: TunnelWorld,
  { tunnels = world.tunnels, peerAddress = world.link.address, address = world.targetAddress }: {
    tunnels?: PeerTunnels, peerAddress?: string, address?: string
  } = {}
): Promise<Result<Duplex, TunnelRefusedError>> {
  return await tunnels.open({ instance: 'peer', peerAddress, address })
}

/** Returns the number of tunnels that are open at the peer. */
export function getOpenTunnels ({ metrics }: TunnelWorld): number {
  return metrics.snapshot().gauges['tunnels.open'] ?? 0
}

/** Closes what a scenario has opened. */
export async function closePeer (world: Partial<TunnelWorld>): Promise<void> {
  if (world.otherTunnels === undefined) return
  for (const tunnels of [world.tunnels!, ...world.otherTunnels]) tunnels.close()
  world.link!.close()
  await world.peer!.close()
  for (const socket of world.sockets!) socket.destroy()
  world.target!.close()
}
