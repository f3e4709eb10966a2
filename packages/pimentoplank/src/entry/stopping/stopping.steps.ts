import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { computeAnswer } from '@pimentoplank/standins'
import { OBJECT_KINDS } from '../../shared'
import { createEntryBench, KEY, MODEL, readEvents, type Reply } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const PROMPT = 'Who meets the guests at dawn?'
const BULK = Buffer.alloc(64 * 1024, 'x')

interface StoppingWorld extends EntryWorld {
  stopped: Promise<void>
  rawServer?: Server
  socket?: Socket
  disconnected: Promise<void>
}

Given(
  'a stopping bench whose directory responses are cached for {int} ms and whose stop may take {int} ms',
  async function (this: StoppingWorld, maxAgeMs: number, graceMs: number) {
    this.bench = await createEntryBench({
      engines: 1,
      services: 1,
      settings: {
        directory: { maxAgeMs },
        stop: { graceMs },
        streams: { firstTokenTimeoutMs: 20_000, tokenGapTimeoutMs: 20_000 }
      }
    })
  })

Given('a stream of {int} tokens runs through the stopping entry and is paused', async function (
  this: StoppingWorld, tokens: number
) {
  const engine = this.bench.engines[0]!
  engine.setFaults({ holdAfterTokens: 5 })
  const body = { model: MODEL, prompt: PROMPT, max_tokens: tokens, stream: true }
  this.pending = this.bench.send('/v1/completions', { method: 'POST', body })
  this.pending.catch(() => undefined)
  await waitUntil(() => engine.getRuns().some((run) => run.tokens >= 5))
})

When('the entry gets a stop signal', function (this: StoppingWorld) {
  this.stopped = this.bench.entries[0]!.stop()
})

Then('the stopping entry is no longer in its own directory', async function (this: StoppingWorld) {
  const { json } = await this.bench.send('/v1/instances')
  assert.deepEqual(json.instances, [])
})

async function listModels ({ bench }: StoppingWorld): Promise<Reply> {
  return await bench.send('/v1/models')
}

Then('the stopping entry still serves a new request and asks to close the connection', async function (
  this: StoppingWorld
) {
  const reply = await listModels(this)
  assert.equal(reply.status, 200)
  assert.equal(reply.headers.connection, 'close')
})

When('the stopping entry refuses new requests', async function (this: StoppingWorld) {
  await waitUntil(() => this.bench.entries[0]!.stage() === 'closed')
})

Then('a new request gets 503 addressMoved with outcome not_run and a retry delay', async function (
  this: StoppingWorld
) {
  const { status, json, headers } = await listModels(this)
  assert.deepEqual([status, json.reason, json.outcome], [503, 'addressMoved', 'not_run'])
  assert.ok(Number(headers['retry-after']) >= 1)
})

When('the paused stream of the stopping entry resumes', function (this: StoppingWorld) {
  this.bench.engines[0]!.setFaults({ holdAfterTokens: null })
})

Then('the stream through the stopping entry is complete', async function (this: StoppingWorld) {
  const events = readEvents((await this.pending).text)
  assert.equal(events.text, computeAnswer(PROMPT, 40))
  assert.equal(events.done, true)
})

Then('the stop of the entry ends', async function (this: StoppingWorld) {
  await this.stopped
})

When('a booking runs through the stopping entry while the platform is unavailable', async function (
  this: StoppingWorld
) {
  const { bench } = this
  bench.services[0]!.setFaults({ hold: 'after' })
  const booking = bench.send('/services/bookings/bookings', {
    method: 'POST', body: {}, headers: { 'x-no-repeat': 'true', 'idempotency-key': 'k' }
  })
  await waitUntil(() => bench.services[0]!.getRuns().length === 1)
  bench.platform.setFaults({ down: true })
  bench.services[0]!.setFaults({ hold: null })
  assert.equal((await booking).status, 201)
})

When('a booking whose caller disconnects runs through the stopping entry', async function (this: StoppingWorld) {
  const { bench } = this
  bench.services[0]!.setFaults({ hold: 'after' })
  const caller = new AbortController()
  bench.send('/services/bookings/bookings', {
    method: 'POST', body: {}, headers: { 'x-no-repeat': 'true', 'idempotency-key': 'k' }, signal: caller.signal
  }).catch(() => undefined)
  await waitUntil(() => bench.services[0]!.getRuns().length === 1)
  caller.abort()
})

When('the paused booking of the stopping entry resumes', function (this: StoppingWorld) {
  this.bench.services[0]!.setFaults({ hold: null })
})

When('the platform of the stopping entry is available again', function (this: StoppingWorld) {
  this.bench.platform.setFaults({ down: false })
})

Then('the outcome of the booking is recorded', function (this: StoppingWorld) {
  const states = this.bench.platform.readAll(OBJECT_KINDS.intent).map((object) => (object.value as any).state)
  assert.deepEqual(states, ['done'])
})

type WriteRawResponse = (write: (bytes: Buffer) => boolean, socket: Socket) => void

async function addRawService (world: StoppingWorld, writeResponse: WriteRawResponse): Promise<void> {
  const server = createServer((req, res) => {
    res.writeHead(200)
    writeResponse((bytes) => res.write(bytes), req.socket)
  })
  world.rawServer = server
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()))
  const { port } = server.address() as AddressInfo
  world.bench.membership.set([{
    id: 'raw',
    role: 'service',
    service: 'bookings',
    address: `127.0.0.1:${port}`,
    failureDomain: 'd',
    region: 'r',
    state: 'live'
  }])
}

Given('a plain service of the entry whose response never ends', async function (this: StoppingWorld) {
  await addRawService(this, (write, socket) => {
    const writeTimer = setInterval(() => { while (!socket.destroyed && write(BULK)); }, 1)
    socket.once('close', () => clearInterval(writeTimer))
  })
})

Given('a plain service of the entry that truncates its response', async function (this: StoppingWorld) {
  await addRawService(this, (write, socket) => {
    write(BULK)
    setImmediate(() => socket.destroy())
  })
})

When('a caller of the entry stops reading its response', async function (this: StoppingWorld) {
  const [host, port] = this.bench.entries[0]!.address.split(':')
  const socket = connect(Number(port), host)
  this.socket = socket
  this.disconnected = new Promise((resolve) => socket.once('error', () => resolve()).once('close', () => resolve()))
  socket.write(`GET /services/bookings/bulk HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n\r\n`)
  socket.pause()
  await waitUntil(() => this.bench.slots.getHeldCount() === 1)
})

Then('the entry disconnects that caller', async function (this: StoppingWorld) {
  await waitUntil(() => this.bench.slots.getHeldCount() === 0)
  this.socket!.resume()
  await this.disconnected
})

When('a caller of the entry calls that service', async function (this: StoppingWorld) {
  this.reply = await this.bench.send('/services/bookings/bulk', { method: 'POST', body: {} })
})

Then('the caller of the entry sees a broken connection', function (this: StoppingWorld) {
  assert.equal(this.reply.broken, true)
})

After({ tags: '@entryStopping' }, async function (this: Partial<StoppingWorld>) {
  this.socket?.destroy()
  this.rawServer?.closeAllConnections()
  this.rawServer?.close()
})
