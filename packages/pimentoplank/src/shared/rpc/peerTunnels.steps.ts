import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { once } from 'node:events'
import * as http2 from 'node:http2'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { openTcpLink } from '../../../features/support/tcpLink'
import {
  ask, closePeer, createEcho, createTunnels, eventually, exchange, getOpenTunnels, openTunnel, startPeer,
  FREE_PORT_ADDRESS, MAX_TUNNELS, SOON_MS, UNFRAMED_HEAD,
  type TunnelWorld
} from '../../../features/support/tunnelWorld'
import { TunnelBrokenError, type TunnelRefusedError } from '..'
import { ConnectionResetError } from '../targetHttp'
import { PEER_KEY_HEADER } from './peerSecurity'
import { createTunnelSocket } from './tunnelSocket'

const MB = 1_000_000
const DELAY_MS = 30
const STEP_MS = 5
const MAX_TURNS = 12

Given(/^a peer with (a shared key|certificates) that reaches a target$/, async function (this: TunnelWorld, name: string) {
  await startPeer(this, name)
})

Given('sessions of tunnels are closed after {int} ms without a tunnel', function (this: TunnelWorld, ms: number) {
  this.tunnels = createTunnels(this, { idleTimeoutMs: ms })
})

When('a body of {int} MB is posted through a tunnel and sent back framed by {word}', async function (
  this: TunnelWorld, size: number, framing: string
) {
  this.posted = randomBytes(size * MB)
  this.behave = createEcho(this.posted.length, framing)
  await exchange(this, this.posted)
})

type EndStep = (world: TunnelWorld, socket: Socket) => void | Promise<void>

const END_STEPS: Record<string, EndStep> = {
  'the target closes with the last bytes': (_world, socket) => { socket.end() },
  'the target closes after the last bytes': async (_world, socket) => {
    await sleep(DELAY_MS)
    socket.end()
  },
  'the target resets with the last bytes': (_world, socket) => { socket.resetAndDestroy() },
  'the target resets after the last bytes': async (_world, socket) => {
    await sleep(DELAY_MS)
    socket.resetAndDestroy()
  },
  'the connection to the peer is reset': async ({ link }) => {
    await sleep(DELAY_MS)
    link.cut()
  },
  'the connection to the peer is closed': async ({ link }) => {
    await sleep(DELAY_MS)
    link.end()
  },
  'the peer closes its server': async ({ peer }) => {
    await sleep(DELAY_MS)
    await peer.close()
  },
  'the peer no longer answers': async ({ link }) => {
    await sleep(DELAY_MS)
    link.freeze()
  }
}

When(/^a target sends a body without a length through a tunnel, and then (.+)$/, async function (
  this: TunnelWorld, end: string
) {
  this.sent = randomBytes(1000)
  this.behave = (socket) => {
    socket.once('data', () => {
      socket.write(UNFRAMED_HEAD)
      socket.write(this.sent)
      Promise.resolve(END_STEPS[end]!(this, socket)).catch((cause: Error) => { this.failure = cause })
    })
  }
  await exchange(this)
})

When(/^the caller's side of a tunnel ends, and the target then answers and ends by a (close|reset)$/, async function (
  this: TunnelWorld, end: 'close' | 'reset'
) {
  this.sent = randomBytes(1000)
  const socket = await openTunnel(this)
  await eventually(() => this.sockets.length === 1, SOON_MS, () => 'the target has no connection')
  const [atTarget] = this.sockets as [Socket]
  atTarget.on('data', () => undefined)
  socket.end('question')
  await once(socket, 'finish')
  await sleep(DELAY_MS)
  atTarget.write(this.sent)
  if (end === 'close') atTarget.end()
  else atTarget.resetAndDestroy()
  const chunks: Buffer[] = []
  try {
    for await (const chunk of socket) chunks.push(chunk as Buffer)
  } catch (cause) {
    this.failure = cause as Error
  }
  this.received = Buffer.concat(chunks)
})

function sendWithoutEnd (socket: Socket): void {
  const chunk = Buffer.alloc(64 * 1024)
  const send = (): void => {
    while (!socket.destroyed && socket.write(chunk)) { /* until the buffer is full */ }
  }
  socket.on('drain', send)
  send()
}

When('a tunnel whose target is sending is closed', async function (this: TunnelWorld) {
  this.behave = sendWithoutEnd
  const socket = await openTunnel(this)
  socket.on('data', () => undefined)
  await sleep(DELAY_MS)
  assert.equal(this.sockets.length, 1)
  socket.destroy()
})

When('{int} tunnels whose targets send without end are not read', async function (this: TunnelWorld, count: number) {
  this.behave = sendWithoutEnd
  for (let opened = 0; opened < count; opened++) await openTunnel(this)
  // Each of them has filled what it may hold when its connection takes no more.
  await eventually(
    () => this.sockets.length === count && this.sockets.every(({ writableNeedDrain }) => writableNeedDrain),
    SOON_MS, () => 'the connections still take bytes'
  )
})

Then('the peer has read less than {int} MB for each of the {int} others', async function (
  this: TunnelWorld, size: number, count: number
) {
  for (const socket of this.openSockets) socket.destroy()
  await eventually(() => getOpenTunnels(this) === 0, SOON_MS, () => `${getOpenTunnels(this)} tunnels are open`)
  const others = this.metrics.snapshot().counters['tunnels.bytes']! - 2 * this.posted.length
  assert.ok(others > 0 && others < count * size * MB, `${others} bytes`)
})

const ASK_STEPS: Record<string, (world: TunnelWorld) => Promise<Result<Duplex, TunnelRefusedError>>> = {
  'with another key': async (world) => {
    const other = createTunnels(world, { security: { ...world.security, sharedKey: 'another-key' } })
    world.otherTunnels.push(other)
    return await ask(world, { tunnels: other })
  },
  'to an address that belongs to no target': async (world) => await ask(world, { address: world.peer.address }),
  'while the peer has no direct path': async (world) => {
    world.isDirect = false
    return await ask(world)
  },
  'while the peer has as many tunnels as it carries': async (world) => {
    await Promise.all(Array.from({ length: MAX_TUNNELS }, async () => await openTunnel(world)))
    await eventually(() => world.sockets.length === MAX_TUNNELS, SOON_MS, () => `${world.sockets.length} connections`)
    world.sockets.splice(0)
    return await ask(world)
  },
  'to a target that refuses connections': async (world) => await ask(world, { address: FREE_PORT_ADDRESS }),
  'of a peer that is gone': async (world) => {
    await world.peer.close()
    return await ask(world, { peerAddress: world.peer.address })
  },
  'of a peer that does not answer': async (world) => {
    world.link.freeze()
    return await ask(world)
  }
}

When('a tunnel is asked for to a target that refuses connections, as the peer loses its direct path', async function (
  this: TunnelWorld
) {
  const answer = ask(this, { address: FREE_PORT_ADDRESS })
  // The request is checked before the connection fails.
  let checks = 0
  Object.defineProperty(this, 'isDirect', { get: () => checks++ === 0 })
  this.asked = await answer
  assert.equal(checks, 2)
})

When(/^a tunnel is asked for ((?:with|to|while|of) (?!.*, as ).+)$/, async function (this: TunnelWorld, because: string) {
  this.asked = await ASK_STEPS[because]!(this)
})

Then(/^the tunnel is refused as (peerFailed|targetFailed)$/, function (this: TunnelWorld, outcome: string) {
  assert.equal(this.asked._unsafeUnwrapErr().outcome, outcome)
})

Then('the reason names {}', function (this: TunnelWorld, reason: string) {
  assert.ok(this.asked._unsafeUnwrapErr().message.includes(reason), this.asked._unsafeUnwrapErr().message)
})

Then('the target has been connected {int} times', function (this: TunnelWorld, count: number) {
  assert.equal(this.sockets.length, count)
})

When('as many tunnels as the peer carries have been opened and closed', async function (this: TunnelWorld) {
  await Promise.all(Array.from({ length: MAX_TUNNELS }, async () => await openTunnel(this)))
  for (const socket of this.openSockets) socket.destroy()
  await eventually(() => getOpenTunnels(this) === 0, SOON_MS, () => `${getOpenTunnels(this)} tunnels are open`)
})

When('{int} tunnels are opened', async function (this: TunnelWorld, count: number) {
  for (let opened = 0; opened < count; opened++) await openTunnel(this)
})

Given('connections to the target are reset as soon as they are open, and the answers arrive together', async function (
  this: TunnelWorld
) {
  this.isResetAtOnce = true
  this.link.close()
  this.link = await openTcpLink(this.peer.address, { batchMs: DELAY_MS })
})

Then('each of these tunnels is broken by a reset', async function (this: TunnelWorld) {
  await eventually(() => this.openSockets.every(({ closed }) => closed), SOON_MS, () => 'a tunnel is open')
  for (const { errored } of this.openSockets) assert.ok(errored instanceof ConnectionResetError, String(errored))
})

When('{int} tunnels are asked for in sessions of their own with a timeout of {int} ms, and this instance is held up for {int} ms each time', async function (
  this: TunnelWorld, count: number, openTimeoutMs: number, heldUpMs: number
) {
  this.heldUp = []
  for (let index = 0; index < count; index++) {
    const tunnels = createTunnels(this, { openTimeoutMs })
    this.otherTunnels.push(tunnels)
    const asked = ask(this, { tunnels })
    // The connection is being established in one of these turns of the event loop.
    for (let turn = 0; turn < index % MAX_TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
    const until = performance.now() + heldUpMs
    while (performance.now() < until) { /* held up */ }
    this.heldUp.push(await asked)
    await sleep(STEP_MS)
  }
})

Then('some of these tunnels are refused as peerFailed, and nothing else fails', function (this: TunnelWorld) {
  const outcomes = new Set(this.heldUp.map((asked) => asked.isOk() ? 'opened' : asked.error.outcome))
  assert.deepEqual([...outcomes].filter((outcome) => outcome !== 'opened'), ['peerFailed'])
})

When('a tunnel is closed by its user in the event that its target has ended it', async function (this: TunnelWorld) {
  this.behave = (socket) => { socket.once('data', () => { socket.end() }) }
  const session = http2.connect(`http://${this.peer.address}`)
  const stream = session.request({
    ':method': 'CONNECT', ':authority': this.targetAddress, [PEER_KEY_HEADER]: this.security.sharedKey
  })
  await once(stream, 'response')
  const socket = createTunnelSocket(stream, () => undefined)
  socket.resume().write('question')
  this.resetAfterTurns = await new Promise((resolve) => socket.once('end', () => {
    socket.destroy()
    if (stream.destroyed) return resolve(0)
    setImmediate(() => resolve(stream.destroyed ? 1 : Infinity))
  }))
  session.destroy()
})

Then('it is reset in the next turn of the event loop, as its session is reading in this one', function (this: TunnelWorld) {
  assert.equal(this.resetAfterTurns, 1)
})

When('the tunnels are closed', function (this: TunnelWorld) {
  for (const socket of this.openSockets) socket.destroy()
})

Then('another tunnel is opened', async function (this: TunnelWorld) {
  await openTunnel(this)
})

Then(/^the answer through the tunnel is (complete|broken by a reset|broken by the peer)$/, function (
  this: TunnelWorld, state: string
) {
  const expected: Record<string, new (...args: any[]) => Error> = {
    'broken by a reset': ConnectionResetError, 'broken by the peer': TunnelBrokenError
  }
  if (state === 'complete') assert.equal(this.failure, undefined)
  else assert.ok(this.failure instanceof expected[state]!, String(this.failure))
})

Then('the answer through the tunnel is the body that was posted', function (this: TunnelWorld) {
  assert.equal(Buffer.compare(this.received, this.posted), 0)
})

Then('the bytes that were sent before were received', function (this: TunnelWorld) {
  assert.equal(Buffer.compare(this.received, this.sent), 0)
})

Then('the peer soon has {int} open tunnels', async function (this: TunnelWorld, count: number) {
  await eventually(() => getOpenTunnels(this) === count, SOON_MS, () => `${getOpenTunnels(this)} tunnels are open`)
})

Then('a shutdown of the peer waits for {int} tunnels', function (this: TunnelWorld, count: number) {
  assert.equal(this.tracked, count)
})

Then('the peer soon has {int} sessions', async function (this: TunnelWorld, count: number) {
  await eventually(() => this.link.countConnections() === count, SOON_MS, () => 'the session is open')
})

function countOpen (world: TunnelWorld): number {
  return world.sockets.filter(({ closed }) => !closed).length
}

Then('the target soon has {int} connections', async function (this: TunnelWorld, count: number) {
  await eventually(() => countOpen(this) === count, SOON_MS, () => `${countOpen(this)} connections are open`)
})

Then('the target has {int} connections within {int} ms', async function (this: TunnelWorld, count: number, ms: number) {
  await eventually(() => countOpen(this) === count, ms, () => `${countOpen(this)} connections are open`)
})

After({ tags: '@peerTunnels' }, async function (this: Partial<TunnelWorld>) {
  await closePeer(this)
})
