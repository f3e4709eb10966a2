import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { openTcpLink, type TcpLink } from '../../../features/support/tcpLink'
import {
  createInMemoryMetrics, createPeerServer, createPeerTunnels, createSilentLog, createSystemClock,
  type Metrics, type PeerServer, type PeerTunnels
} from '../../shared'
import type { TargetProtocol, TargetRequest } from '../model'
import { createDirectPaths, type PathChoice, type TargetPaths } from '../paths'
import {
  createDirectConnector, createExchange, createTargetConnectionPool, createTargetConnector,
  type DirectConnector, type Exchange, type SendFailure, type TargetAnswer, type TargetConnectionPool
} from '.'

interface ExchangeWorld {
  target: Server
  address: string
  sockets: Socket[]
  /** Called when a request has arrived whole. */
  answer: (socket: Socket) => void
  peer: PeerServer
  peerMetrics: Metrics
  link: TcpLink
  /** Link to a peer that never answers. */
  gone?: TcpLink
  tunnels: PeerTunnels
  connections: TargetConnectionPool
  exchange: Exchange
  choose: () => PathChoice
  isDirectUsable: boolean
  /** True while this instance can't connect to the target. */
  isCut: boolean
  isPeerDirect: boolean
  /** Address that the peer connects to instead of the target's. */
  peerTarget?: string
  observed: string[]
  failure?: SendFailure
  answers: Array<{ body: string, isDirect: boolean }>
  /** Size of the body that was sent to a target which reads late, and what arrived there, head included. */
  bodyBytes: number
  receivedBytes: number
  ending?: 'reset' | 'closed'
  /** Requests that were sent while their paths broke, by id. */
  tried: Map<string, Result<string, SendFailure>>
  /** Ids of the requests that have reached the target. */
  reached: string[]
  /** Deadline of a request, and when it reached the target, on the monotonic clock. */
  endAt: number
  toldAt: number
  /** Time that the target was told to have, in milliseconds. */
  toldMs: number
}

const SECURITY = { sharedKey: 'shared-key-of-the-peers' }
const CONNECT_TIMEOUT_MS = 250
const IDLE_TIMEOUT_MS = 3000
const SOON_MS = 5000
const STEP_MS = 5
const DELAY_MS = 30
/** Time that the target works on a request whose path breaks, in milliseconds. */
const ANSWER_MS = 5
const BREAKS_TIMEOUT_MS = 30_000
const BODY = 'the whole answer'
const REFUSING_ADDRESS = '127.0.0.1:1'

const PROTOCOL: TargetProtocol = {
  encodeHeaders: ({ request, deadlineMs }) => [...request.headers, 'Deadline', String(deadlineMs)],
  decodeHead: (status, headers) => ({
    status, headers, isNotRun: false, isOtherTarget: false, isSigned: true, isLeaving: false
  }),
  state: { path: '/state', decode: () => ({}) }
}

async function eventually (isTrue: () => boolean, withinMs: number, what: string): Promise<void> {
  const end = performance.now() + withinMs
  while (!isTrue()) {
    if (performance.now() > end) assert.fail(what)
    await sleep(STEP_MS)
  }
}

function answerWhole (socket: Socket): void {
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`)
}

function beginAnswer (socket: Socket): void {
  socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY.slice(0, BODY.length / 2)}`)
}

async function startTarget (world: ExchangeWorld): Promise<void> {
  world.sockets = []
  world.answer = answerWhole
  world.target = createServer((socket) => {
    world.sockets.push(socket)
    socket.on('error', () => undefined)
    socket.on('data', () => world.answer(socket))
  })
  world.target.listen(0, '127.0.0.1')
  await once(world.target, 'listening')
  world.address = `127.0.0.1:${(world.target.address() as AddressInfo).port}`
}

async function startPeer (world: ExchangeWorld): Promise<void> {
  const connect = createDirectConnector({ timeoutMs: CONNECT_TIMEOUT_MS, observer: createDirectPaths() })
  world.isPeerDirect = true
  world.peerMetrics = createInMemoryMetrics()
  const started = await createPeerServer({
    host: '127.0.0.1',
    port: 0,
    security: SECURITY,
    routes: () => undefined,
    tunnels: {
      mayOpen: (address) => address === world.address,
      isDirect: () => world.isPeerDirect,
      connect: (address, done) => connect(world.peerTarget ?? address, done),
      track: () => () => undefined,
      clock: createSystemClock(),
      metrics: world.peerMetrics,
      log: createSilentLog()
    }
  })
  world.peer = started._unsafeUnwrap()
  world.link = await openTcpLink(world.peer.address)
}

function startExchange (world: ExchangeWorld): void {
  const clock = createSystemClock()
  const log = createSilentLog()
  const metrics = createInMemoryMetrics()
  world.isDirectUsable = true
  world.isCut = false
  world.observed = []
  world.answers = []
  const paths: TargetPaths = {
    choose: () => world.choose(),
    isDirectUsable: () => world.isDirectUsable,
    recordConnected: () => { world.observed.push('direct connected') },
    recordConnectFailed: () => { world.observed.push('direct failed') },
    recordBytes: () => { world.observed.push('bytes') },
    recordPeerOutcome: (instance, _address, outcome) => { world.observed.push(`${instance} ${outcome}`) }
  }
  const direct = createDirectConnector({ timeoutMs: CONNECT_TIMEOUT_MS, observer: paths })
  const connectDirect: DirectConnector = (address, done) => direct(world.isCut ? REFUSING_ADDRESS : address, done)
  world.tunnels = createPeerTunnels({ self: 'asking', security: SECURITY, metrics, log })
  world.connections = createTargetConnectionPool({
    settings: { idleTimeoutMs: IDLE_TIMEOUT_MS },
    connect: createTargetConnector({ connectDirect, paths, tunnels: world.tunnels, clock, log }),
    paths,
    clock,
    metrics
  })
  world.exchange = createExchange({
    protocol: PROTOCOL,
    connections: world.connections,
    onHead: () => undefined,
    onOtherProcess: () => undefined,
    clock,
    metrics,
    log
  })
}

const CHOICES: Record<string, (world: ExchangeWorld) => () => PathChoice> = {
  'go through the peer': toPeer,
  'are direct': () => () => ({ type: 'direct' }),
  'are direct until one fails': (world) => () => (
    world.observed.includes('direct failed') ? toPeer(world)() : { type: 'direct' }
  ),
  'first go through a peer that is gone': (world) => () => world.observed.includes('gone peerFailed')
    ? toPeer(world)()
    : { type: 'peer', instance: 'gone', peerAddress: world.gone?.address ?? REFUSING_ADDRESS }
}

function toPeer (world: ExchangeWorld): () => PathChoice {
  return () => ({ type: 'peer', instance: 'peer', peerAddress: world.link.address })
}

Given(/^an exchange with a target and a peer that reaches it, where paths (.+)$/, async function (
  this: ExchangeWorld, choice: string
) {
  await startTarget(this)
  await startPeer(this)
  startExchange(this)
  this.choose = CHOICES[choice]!(this)
})

/** Each request has an id of its own, as that of a connection's earlier request is not used there again. */
let lastId = 0

function createRequest ({ address }: ExchangeWorld): TargetRequest {
  const id = `request-${++lastId}`
  return {
    request: { id, host: 'h', method: 'GET', path: `/${id}`, headers: [], body: new Uint8Array() },
    target: { id: 'target', service: 's', address, failureDomain: 'a', version: 'v', slots: 1, state: 'ready' }
  }
}

async function send (world: ExchangeWorld, signal = new AbortController().signal): Promise<void> {
  const opened = world.sockets.length
  const sent = await world.exchange.send(createRequest(world), signal)
  if (sent.isErr()) {
    world.failure = sent.error
    return
  }
  const body = await readBody(sent.value)
  sent.value.close()
  if (body.isErr()) {
    world.failure = body.error
    return
  }
  const isDirect = world.observed.at(-1) === 'bytes'
  world.observed = world.observed.filter((what) => what !== 'bytes')
  world.answers.push({ body: body.value, isDirect })
  assert.ok(world.sockets.length - opened <= 1)
}

async function readBody (answer: TargetAnswer): Promise<Result<string, SendFailure>> {
  let text = ''
  for (;;) {
    const next = await answer.read()
    if (next.isErr()) return next.map(() => text)
    if (next.value === undefined) return next.map(() => text)
    text += Buffer.from(next.value).toString()
  }
}

const FAILURES: Record<string, (world: ExchangeWorld) => void | Promise<void>> = {
  'since the peer is gone': ({ link }) => link.cut(),
  'since the peer does not answer': ({ link }) => link.freeze(),
  'since the peer has no direct path': (world) => { world.isPeerDirect = false },
  'since the target refuses connections of the peer': (world) => { world.peerTarget = REFUSING_ADDRESS },
  'as the peer is lost after the request was written': (world) => { world.answer = () => world.link.cut() },
  'as the peer is lost within the body': (world) => {
    world.answer = (socket) => {
      beginAnswer(socket)
      setTimeout(() => world.link.cut(), DELAY_MS)
    }
  },
  'as the target resets after the request was written': (world) => {
    world.answer = (socket) => { socket.resetAndDestroy() }
  },
  'as the target resets within the body': (world) => {
    world.answer = (socket) => {
      beginAnswer(socket)
      socket.resetAndDestroy()
    }
  }
}

When(/^a request is sent and the path fails (.+)$/, async function (this: ExchangeWorld, when: string) {
  await FAILURES[when]!(this)
  await send(this)
})

When(/^(\d+) requests? (?:is|are) sent(?: one after the other)?$/, async function (this: ExchangeWorld, count: string) {
  for (let sent = 0; sent < Number(count); sent++) await send(this)
  assert.equal(this.failure, undefined)
})

const BREAKS: Record<string, (world: ExchangeWorld) => void> = {
  'the connection to the peer is reset': ({ link }) => link.cut(),
  'the connection to the peer is closed': ({ link }) => link.end(),
  'the target resets its connections': ({ sockets }) => { for (const socket of sockets) socket.resetAndDestroy() },
  'the target closes its connections': ({ sockets }) => { for (const socket of sockets) socket.end() }
}

When(/^(\d+) requests are sent on a (new|kept) tunnel each, and (.+) after 0 to (\d+) ms$/, { timeout: BREAKS_TIMEOUT_MS }, async function (
  this: ExchangeWorld, count: string, which: string, what: string, mostMs: string
) {
  this.tried = new Map()
  this.reached = []
  this.answer = (socket) => { setTimeout(() => answerWhole(socket), ANSWER_MS) }
  this.target.on('connection', (socket: Socket) => {
    socket.on('data', (bytes: Buffer) => { this.reached.push(...bytes.toString().match(/request-\d+(?= HTTP)/g) ?? []) })
  })
  for (let index = 0; index < Number(count); index++) {
    if (which === 'kept') await send(this)
    const delayMs = Number(mostMs) * index / Number(count)
    const outgoing = createRequest(this)
    const from = performance.now()
    const sent = this.exchange.send(outgoing, new AbortController().signal)
    while (performance.now() - from < delayMs) await new Promise((resolve) => setImmediate(resolve))
    BREAKS[what]!(this)
    const answer = await sent
    this.tried.set(outgoing.request.id, answer.isErr() ? answer.map(() => '') : await readBody(answer.value))
    if (answer.isOk()) answer.value.close()
    this.link.close()
    this.link = await openTcpLink(this.peer.address)
    // The pool has seen by then that the tunnel of this request is gone.
    await sleep(DELAY_MS)
  }
})

Then('no request has reached the target twice', function (this: ExchangeWorld) {
  assert.deepEqual(this.reached.filter((id, index) => this.reached.indexOf(id) !== index), [])
})

Then('no request has reached the target that failed as one that has not run', function (this: ExchangeWorld) {
  const notRun = [...this.tried].filter(([, result]) => result.isErr() && !result.error.mayHaveRun).map(([id]) => id)
  assert.deepEqual(notRun.filter((id) => this.reached.includes(id)), [])
})

Then('some requests have failed and some have reached the target', function (this: ExchangeWorld) {
  const results = [...this.tried.values()]
  const reached = [...this.tried.keys()].filter((id) => this.reached.includes(id))
  assert.ok(results.some((one) => one.isErr()) && reached.length > 0, `${reached.length} of ${results.length} reached the target`)
})

Given('the peer that is gone does not answer', async function (this: ExchangeWorld) {
  this.gone = await openTcpLink(this.peer.address)
  this.gone.freeze()
})

When('a request with {int} ms left is sent', async function (this: ExchangeWorld, leftMs: number) {
  this.answer = (socket) => {
    this.toldAt = performance.now()
    answerWhole(socket)
  }
  this.target.on('connection', (socket: Socket) => {
    socket.on('data', (bytes: Buffer) => { this.toldMs = Number(/Deadline: (\d+)/.exec(bytes.toString())?.[1]) })
  })
  this.endAt = performance.now() + leftMs
  const sent = await this.exchange.send({ ...createRequest(this), deadlineMs: leftMs }, new AbortController().signal)
  sent._unsafeUnwrap().close()
})

Then('the target was told of the time that was left when the request reached it', function (this: ExchangeWorld) {
  const leftMs = this.endAt - this.toldAt
  assert.ok(Math.abs(this.toldMs - leftMs) <= DELAY_MS, `${this.toldMs} ms of ${Math.round(leftMs)} ms`)
})

When('a request is sent and withdrawn {int} ms later', async function (this: ExchangeWorld, ms: number) {
  const withdrawAt = performance.now() + ms
  const send = { ...createRequest(this), mayStillSend: () => performance.now() < withdrawAt }
  const sent = await this.exchange.send(send, new AbortController().signal, { mustBeListed: false })
  this.failure = sent.isErr() ? sent.error : undefined
  assert.ok(performance.now() >= withdrawAt)
})

When(/^paths are direct$/, function (this: ExchangeWorld) {
  this.choose = CHOICES['are direct']!(this)
})

When('direct connections may hang and paths go through the peer', function (this: ExchangeWorld) {
  this.isDirectUsable = false
  this.choose = toPeer(this)
})

When('direct connections are usable', function (this: ExchangeWorld) {
  this.isDirectUsable = true
})

When("a request is sent while the instance can't connect to the target", async function (this: ExchangeWorld) {
  this.isCut = true
  await send(this)
})

When('a request is sent and given up while the target works on it', async function (this: ExchangeWorld) {
  const caller = new AbortController()
  const arrived = new Promise<void>((resolve) => { this.answer = () => resolve() })
  const sent = send(this, caller.signal)
  await arrived
  caller.abort()
  await sent
  assert.equal(this.failure?.reason, 'aborted')
})

Then('the request fails as {word}', function (this: ExchangeWorld, reason: string) {
  assert.equal(this.failure?.reason, reason, this.failure?.message)
})

Then(/^the request (has not run|may have run)$/, function (this: ExchangeWorld, run: string) {
  assert.equal(this.failure!.mayHaveRun, run === 'may have run')
})

Then('the paths were told of the peer: {word}', function (this: ExchangeWorld, outcome: string) {
  assert.deepEqual(this.observed, [`peer ${outcome}`])
})

Then('the paths were told of a failed direct connection', function (this: ExchangeWorld) {
  assert.deepEqual(this.observed, ['direct failed', 'peer connected'])
})

Then(/^(?:it is|both are) answered whole through the peer$/, function (this: ExchangeWorld) {
  assert.equal(this.failure, undefined)
  assert.ok(this.answers.length > 0)
  for (const { body, isDirect } of this.answers) assert.deepEqual({ body, isDirect }, { body: BODY, isDirect: false })
})

Then('{int} requests were answered directly', function (this: ExchangeWorld, count: number) {
  assert.equal(this.answers.filter(({ isDirect }) => isDirect).length, count)
})

Then(/^the target has seen (\d+) connections?$/, function (this: ExchangeWorld, count: string) {
  assert.equal(this.sockets.length, Number(count))
})

Then('the peer carries {int} tunnels', async function (this: ExchangeWorld, count: number) {
  const isReached = (): boolean => (this.peerMetrics.snapshot().gauges['tunnels.open'] ?? 0) === count
  await eventually(isReached, SOON_MS, 'the peer carries other tunnels')
})

Then('the target has no connection within {int} ms', async function (this: ExchangeWorld, ms: number) {
  await eventually(() => this.sockets.every(({ closed }) => closed), ms, 'the target has a connection')
})

Given('the target reads nothing from its connections for now', function (this: ExchangeWorld) {
  this.target.removeAllListeners('connection')
  this.target.on('connection', (socket) => {
    this.sockets.push(socket)
    socket.pause()
    socket.on('error', () => undefined)
  })
})

When('a request with a body of {int} bytes is sent, and given up {int} ms later', async function (
  this: ExchangeWorld, bytes: number, ms: number
) {
  this.bodyBytes = bytes
  const { request, target } = createRequest(this)
  const caller = new AbortController()
  const sent = this.exchange.send({ request: { ...request, method: 'POST', body: new Uint8Array(bytes) }, target }, caller.signal)
  await sleep(ms)
  caller.abort()
  assert.equal((await sent)._unsafeUnwrapErr().reason, 'aborted')
})

When('the target reads what has come', async function (this: ExchangeWorld) {
  const [socket] = this.sockets
  this.receivedBytes = 0
  socket!.on('data', (bytes: Buffer) => { this.receivedBytes += bytes.length })
  socket!.once('end', () => { this.ending ??= socket!.remoteAddress === undefined ? 'reset' : 'closed' })
  socket!.once('error', () => { this.ending ??= 'reset' })
  socket!.resume()
  await eventually(() => this.ending !== undefined, SOON_MS, 'the connection goes on')
})

Then('the target has a part of the request only, and finds the connection reset', function (this: ExchangeWorld) {
  assert.ok(this.receivedBytes < this.bodyBytes, `${this.receivedBytes} bytes of a body of ${this.bodyBytes} arrived`)
  assert.equal(this.ending, 'reset')
})

After({ tags: '@tunnelledExchange' }, async function (this: Partial<ExchangeWorld>) {
  if (this.connections === undefined) return
  this.connections.close()
  this.tunnels!.close()
  this.link!.close()
  this.gone?.close()
  await this.peer!.close()
  for (const socket of this.sockets!) socket.destroy()
  this.target!.close()
})
