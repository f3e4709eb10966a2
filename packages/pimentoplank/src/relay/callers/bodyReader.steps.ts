import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { ok, type Result } from 'neverthrow'
import {
  createMemoryBudget, createSilentLog, KIB_BYTES, type MemoryBudget, type RefusalError
} from '../../shared'
import { openRequestMemory, type RequestMemory } from '../live'
import { createBodyReader } from './bodyReader'

interface Reader {
  /** Bytes of the body that have arrived. */
  readBytes: number
  memory: RequestMemory
  body: Promise<Result<Uint8Array, RefusalError>>
}

interface BodyWorld {
  now: number
  bodyServer: Server
  bodyBudget: MemoryBudget
  maxMs: number
  bodyCallers: Socket[]
  bodyReaders: Reader[]
  sentBodies: Buffer[]
  rest: Buffer
}

const WAIT_MS = 10
const MAX_COLLECTIONS = 20
const STEP_TIMEOUT_MS = 20_000
const LONG_MS = 60_000

Given('a server that reads bodies of at most {int} KiB in a budget of {int} KiB', async function (
  this: BodyWorld, most: number, total: number
) {
  this.now = 0
  this.maxMs = LONG_MS
  this.bodyCallers = []
  this.bodyReaders = []
  this.sentBodies = []
  const clock = { now: () => this.now }
  this.bodyBudget = createMemoryBudget({ totalBytes: total * KIB_BYTES, clock, log: createSilentLog() })
  this.bodyServer = createServer({ requestTimeout: 0 }, (req) => {
    const memory = openRequestMemory({ budget: this.bodyBudget, id: '', headBytes: 0 })!
    const { body, setLimits } = createBodyReader({ req, memory, clock })
    setLimits({ maxBytes: most * KIB_BYTES, endAt: this.now + this.maxMs })
    const reader: Reader = { readBytes: 0, memory, body }
    req.on('data', (chunk: Buffer) => { reader.readBytes += chunk.length })
    this.bodyReaders.push(reader)
  })
  await new Promise<void>((resolve) => this.bodyServer.listen(0, '127.0.0.1', resolve))
})

Given('bodies have to be whole within {int} ms', function (this: BodyWorld, ms: number) {
  this.maxMs = ms
})

async function open (world: BodyWorld, head: string): Promise<Socket> {
  const count = world.bodyReaders.length
  const socket = connect((world.bodyServer.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => undefined)
  world.bodyCallers.push(socket)
  socket.write(`POST /x HTTP/1.1\r\nHost: h\r\n${head}\r\n\r\n`)
  await until(() => world.bodyReaders.length > count)
  return socket
}

function createBody (size: number): Buffer {
  return Buffer.from(Array.from({ length: size * KIB_BYTES }, (_, index) => index % 251))
}

async function sendChunks (world: BodyWorld, size: number, chunkBytes: number, isWhole: boolean): Promise<void> {
  const body = createBody(size)
  world.sentBodies.push(body)
  const socket = await open(world, 'Transfer-Encoding: chunked')
  for (let start = 0; start < body.length; start += chunkBytes) {
    const chunk = body.subarray(start, start + chunkBytes)
    const isTaken = socket.write(Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]))
    if (!isTaken) await once(socket, 'drain')
  }
  if (isWhole) socket.write('0\r\n\r\n')
}

When('a body of {int} KiB is sent in chunks of {int} byte(s)', { timeout: STEP_TIMEOUT_MS }, async function (
  this: BodyWorld, size: number, bytes: number
) {
  await sendChunks(this, size, bytes, true)
})

When('a body of {int} KiB is sent in chunks of {int} byte(s) and stops short of its end', { timeout: STEP_TIMEOUT_MS }, async function (
  this: BodyWorld, size: number, bytes: number
) {
  await sendChunks(this, size, bytes, false)
})

When(/^(?:a|another) body with a length of (\d+) KiB is announced and (\d+) KiB of it is sent$/, async function (
  this: BodyWorld, announced: string, size: string
) {
  const body = createBody(Number(announced))
  this.sentBodies.push(body)
  const socket = await open(this, `Content-Length: ${body.length}`)
  const sentBytes = Number(size) * KIB_BYTES
  if (this.bodyCallers.length === 1) this.rest = body.subarray(sentBytes)
  socket.write(body.subarray(0, sentBytes))
})

When('{int} ms go by', async function (this: BodyWorld, ms: number) {
  await new Promise((resolve) => setTimeout(resolve, ms))
})

When('the rest of the first body is sent', function (this: BodyWorld) {
  this.bodyCallers[0]!.write(this.rest)
})

When('its caller closes the connection', async function (this: BodyWorld) {
  await until(() => this.bodyReaders[0]!.readBytes > 0)
  this.bodyCallers[0]!.destroy()
})

When('{int} ms pass for the bodies', function (this: BodyWorld, ms: number) {
  this.now += ms
})

Then('all {int} KiB of it have been read', async function (this: BodyWorld, size: number) {
  await until(() => this.bodyReaders[0]!.readBytes === size * KIB_BYTES)
})

Then('at most {int} KiB of the budget are in use by bodies', function (this: BodyWorld, most: number) {
  assert.ok(this.bodyBudget.usedBytes() <= most * KIB_BYTES, `${this.bodyBudget.usedBytes()} bytes`)
})

Then('no memory is in use by bodies', function (this: BodyWorld) {
  for (const { memory } of this.bodyReaders) memory.close()
  assert.equal(this.bodyBudget.usedBytes(), 0)
})

Then(/^(its|the other) body is read whole$/, { timeout: STEP_TIMEOUT_MS }, async function (this: BodyWorld, which: string) {
  const number = which === 'its' ? 0 : 1
  const body = await this.bodyReaders[number]!.body
  assert.ok(body.isOk(), String(body.isErr() && body.error.reason))
  assert.ok(this.sentBodies[number]!.equals(body.value))
})

Then(/^(its|the other) body is refused as "(\w+)"$/, { timeout: STEP_TIMEOUT_MS }, async function (
  this: BodyWorld, which: string, reason: string
) {
  const body = await this.bodyReaders[which === 'its' ? 0 : 1]!.body
  assert.deepEqual(body.isErr() && [body.error.reason, body.error.outcome], [reason, 'not_run'])
})

Then('its memory is free although the connection is open', async function (this: BodyWorld) {
  const [reader] = this.bodyReaders
  const body = await refer(reader!)
  this.bodyReaders = []
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  // A reference is kept until the current job has ended.
  for (let round = 0; round < MAX_COLLECTIONS && body.deref() !== undefined; round++) {
    await new Promise((resolve) => setTimeout(resolve, WAIT_MS))
    collect()
  }
  assert.ok(body.deref() === undefined)
  assert.ok(!this.bodyCallers[0]!.destroyed)
})

async function refer (reader: Reader): Promise<WeakRef<Uint8Array>> {
  const body = (await reader.body)._unsafeUnwrap()
  reader.body = Promise.resolve(ok(Buffer.alloc(0)))
  return new WeakRef(body)
}

async function until (isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, WAIT_MS))
}

After(function (this: Partial<BodyWorld>) {
  this.bodyCallers?.forEach((socket) => socket.destroy())
  this.bodyServer?.closeAllConnections()
  this.bodyServer?.close()
})
