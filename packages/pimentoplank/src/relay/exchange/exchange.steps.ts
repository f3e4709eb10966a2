import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { createDirectPool } from '../../../features/support/directPool'
import { createInMemoryMetrics, createSilentLog, createSystemClock } from '../../shared'
import type { Target, TargetProtocol } from '../model'
import { createExchange, drainAnswer, type Exchange, type SendFailure, type TargetAnswer } from '.'

interface SentRequest {
  id: string
  /** Number of the connection that carried it, beginning with 0. */
  connection: number
}

interface ExchangeWorld {
  lateServer: Server
  lateTarget: Target
  lateExchange: Exchange
  sockets: Socket[]
  arrived: SentRequest[]
  /** Answers by the ids of their requests; status 200 for others. */
  statuses: Map<string, number>
  /** Sent right before the answer to the next request. */
  repeated: string
  last: Result<TargetAnswer, SendFailure>
  /** Size of the body that was sent to a target which reads late, and what arrived there, head included. */
  bodyBytes: number
  receivedBytes: number
  ending?: 'reset' | 'closed'
}

const HEAD_END = '\r\n\r\n'
const STATUS_OK = 200
const STATUS_MISDIRECTED = 421
const STEP_TIMEOUT_MS = 30_000
const MB_BYTES = 1024 * 1024

const protocol: TargetProtocol = {
  encodeHeaders: ({ request }) => ['Request', request.id],
  decodeHead: (status, headers) => ({
    status,
    headers,
    requestId: headers[headers.indexOf('Request') + 1],
    isNotRun: headers.includes('Not-Run'),
    isOtherTarget: status === STATUS_MISDIRECTED,
    isSigned: true,
    isLeaving: false
  }),
  state: { path: '/state', decode: () => ({}) }
}

function encodeAnswer (id: string, status: number): string {
  const notRun = status === STATUS_OK ? '' : 'Not-Run: 1\r\n'
  return `HTTP/1.1 ${status} Answer\r\nRequest: ${id}\r\n${notRun}Content-Length: 0${HEAD_END}`
}

Given('a target that answers request {string} with status {int}', async function (this: ExchangeWorld, id: string, status: number) {
  this.sockets = []
  this.arrived = []
  this.statuses = new Map([[id, status]])
  this.repeated = ''
  this.lateServer = createServer((socket) => {
    const connection = this.sockets.push(socket) - 1
    socket.on('error', () => undefined)
    socket.on('data', (bytes) => {
      const id = /^request: (.*)\r$/im.exec(String(bytes))?.[1] ?? ''
      this.arrived.push({ id, connection })
      socket.write(this.repeated + encodeAnswer(id, this.statuses.get(id) ?? STATUS_OK))
      this.repeated = ''
    })
  })
  await new Promise<void>((resolve) => this.lateServer.listen(0, '127.0.0.1', resolve))
  const clock = createSystemClock()
  const metrics = createInMemoryMetrics()
  const { port } = this.lateServer.address() as AddressInfo
  this.lateTarget = {
    id: 'target', service: 's', address: `127.0.0.1:${port}`, failureDomain: 'a', version: 'v1', slots: 1, state: 'ready'
  }
  this.lateExchange = createExchange({
    protocol,
    connections: createDirectPool({ connectTimeoutMs: 1000, idleTimeoutMs: 10_000, clock, metrics }),
    onHead: () => undefined,
    onOtherProcess: () => undefined,
    clock,
    metrics,
    log: createSilentLog()
  })
})

After(function (this: Partial<ExchangeWorld>) {
  this.lateExchange?.connections.close()
  this.lateServer?.close()
  this.sockets?.forEach((socket) => socket.destroy())
})

async function sendOne (world: ExchangeWorld, id: string): Promise<void> {
  const request = { id, host: 'h', method: 'POST', path: '/', headers: [], body: new Uint8Array() }
  world.last = await world.lateExchange.send({ request, target: world.lateTarget }, new AbortController().signal)
  if (world.last.isOk()) {
    assert.ok((await drainAnswer(world.last.value)).isOk())
    world.last.value.close()
  }
  // The rest of a refused request's answer is read in the background.
  await pause(0)
}

When('request {string} is sent, and its answer comes once more right before that to request {string}', async function (
  this: ExchangeWorld, first: string, second: string
) {
  await sendOne(this, first)
  this.repeated = encodeAnswer(first, this.statuses.get(first)!)
  await sendOne(this, second)
})

When('request {string} is sent twice, and its answer comes once more right before the second one', async function (
  this: ExchangeWorld, id: string
) {
  await sendOne(this, id)
  const copy = encodeAnswer(id, this.statuses.get(id)!)
  this.statuses.clear()
  const [socket] = this.sockets
  socket!.prependOnceListener('data', () => { socket!.write(copy) })
  await sendOne(this, id)
})

When('request {string} is sent, and its answer comes once more {int} ms later', async function (this: ExchangeWorld, id: string, ms: number) {
  await sendOne(this, id)
  await pause(ms)
  this.sockets[0]!.write(encodeAnswer(id, this.statuses.get(id)!))
})

When('request {string} is sent, and its answer comes once more in the instant in which request {string} is sent', async function (
  this: ExchangeWorld, first: string, second: string
) {
  await sendOne(this, first)
  await pause(50)
  // No event is handled between this write and the send.
  this.sockets[0]!.write(encodeAnswer(first, this.statuses.get(first)!))
  await sendOne(this, second)
})

When('{int} requests are answered by the target in turn', { timeout: STEP_TIMEOUT_MS }, async function (this: ExchangeWorld, count: number) {
  for (let index = 0; index < count; index++) {
    await sendOne(this, `request ${index}`)
    assert.ok(this.last.isOk())
  }
})

Then('request {string} fails as spoiled, and may have run', function (this: ExchangeWorld, id: string) {
  assert.ok(this.arrived.some((one) => one.id === id && one.connection === 0))
  const { reason, mayHaveRun } = this.last._unsafeUnwrapErr()
  assert.deepEqual({ reason, mayHaveRun }, { reason: 'spoiled', mayHaveRun: true })
})

Then('a later request is sent on another connection', async function (this: ExchangeWorld) {
  await sendOne(this, 'later')
  assert.deepEqual(this.arrived.at(-1), { id: 'later', connection: 1 })
})

Then('the second answer is the target\'s own', function (this: ExchangeWorld) {
  assert.equal(this.last._unsafeUnwrap().head.status, STATUS_OK)
})

Then('the target had {int} connections', function (this: ExchangeWorld, count: number) {
  assert.equal(this.sockets.length, count)
})

Then('the target sees that connection end', async function (this: ExchangeWorld) {
  const [socket] = this.sockets
  if (!socket!.destroyed) await once(socket!, 'close', { signal: AbortSignal.timeout(1000) })
})

function checkOtherConnection (world: ExchangeWorld, id: string): void {
  assert.equal(world.last._unsafeUnwrap().head.requestId, id)
  assert.deepEqual(world.arrived.filter((one) => one.id === id), [{ id, connection: 1 }])
}

Then('request {string} was answered on another connection', function (this: ExchangeWorld, id: string) {
  checkOtherConnection(this, id)
})

Then('request {string} is answered on another connection', async function (this: ExchangeWorld, id: string) {
  await sendOne(this, id)
  checkOtherConnection(this, id)
})

When('request {string} is withdrawn while its connection is established', async function (this: ExchangeWorld, id: string) {
  const request = { id, host: 'h', method: 'POST', path: '/', headers: [], body: new Uint8Array() }
  const send = { request, target: this.lateTarget, mayStillSend: () => false }
  this.last = await this.lateExchange.send(send, new AbortController().signal, { mustBeListed: false })
})

Then('request {string} failed as withdrawn, and has not run', async function (this: ExchangeWorld, id: string) {
  const { reason, mayHaveRun } = this.last._unsafeUnwrapErr()
  assert.deepEqual({ reason, mayHaveRun }, { reason: 'withdrawn', mayHaveRun: false })
  await new Promise((resolve) => setTimeout(resolve, 50))
  assert.ok(!this.arrived.some((one) => one.id === id))
})

Given('the target reads nothing from its connections', function (this: ExchangeWorld) {
  this.lateServer.removeAllListeners('connection')
  this.lateServer.on('connection', (socket) => {
    this.sockets.push(socket)
    socket.pause()
    socket.on('error', () => undefined)
  })
})

When('request {string} with a body of {int} bytes is sent, and aborted {int} ms later', async function (
  this: ExchangeWorld, id: string, bytes: number, ms: number
) {
  this.bodyBytes = bytes
  const request = { id, host: 'h', method: 'POST', path: '/', headers: [], body: new Uint8Array(bytes) }
  const sender = new AbortController()
  const sent = this.lateExchange.send({ request, target: this.lateTarget }, sender.signal)
  await pause(ms)
  sender.abort()
  this.last = await sent
  assert.equal(this.last._unsafeUnwrapErr().mayHaveRun, true)
})

When('the target reads what has come {int} ms later', async function (this: ExchangeWorld, ms: number) {
  await pause(ms)
  const [socket] = this.sockets
  this.receivedBytes = 0
  this.ending = undefined
  socket!.on('data', (bytes: Buffer) => { this.receivedBytes += bytes.length })
  socket!.once('end', () => { this.ending ??= socket!.remoteAddress === undefined ? 'reset' : 'closed' })
  socket!.once('error', () => { this.ending ??= 'reset' })
  socket!.resume()
  while (this.ending === undefined) await pause(5)
})

Then('the target finds the connection reset, and request {string} incomplete', function (this: ExchangeWorld, _id: string) {
  assert.ok(this.receivedBytes < this.bodyBytes, `${this.receivedBytes} bytes of a body of ${this.bodyBytes} arrived`)
  assert.equal(this.ending, 'reset')
})

When('request {string} is answered with {int} MB without a length, and given up {int} ms later', async function (
  this: ExchangeWorld, id: string, size: number, ms: number
) {
  this.repeated = `HTTP/1.1 200 Answer\r\nRequest: ${id}${HEAD_END}${'x'.repeat(size * MB_BYTES)}`
  const request = { id, host: 'h', method: 'POST', path: '/', headers: [], body: new Uint8Array() }
  this.last = await this.lateExchange.send({ request, target: this.lateTarget }, new AbortController().signal)
  await pause(ms)
  this.last._unsafeUnwrap().close()
  await pause(ms)
})

Then('the answer to request {string} breaks off when it is read', async function (this: ExchangeWorld, _id: string) {
  const answer = this.last._unsafeUnwrap()
  for (;;) {
    const next = await answer.read()
    if (next.isErr()) return assert.equal(next.error.reason, 'broken')
    assert.ok(next.value !== undefined, 'it ended')
  }
})
