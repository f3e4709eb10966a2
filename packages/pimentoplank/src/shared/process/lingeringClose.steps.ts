import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { closeLingering, type LingerLimits } from '.'

interface LingerWorld {
  lingerServer: Server
  lingerCaller: Socket
  closed: Promise<unknown>
  answer: string
  failure?: Error
  readBytes: number
}

const STEP_TIMEOUT_MS = 20_000
const CHUNK = `10000\r\n${'x'.repeat(0x10000)}\r\n`

Given('a server that refuses requests and reads on for {int} bytes and {int} ms', async function (
  this: LingerWorld, maxBytes: number, maxMs: number
) {
  await listen(this, (req, res) => {
    req.on('data', ({ length }: Buffer) => { this.readBytes += length })
    refuse(res, { maxBytes, maxMs })
  })
})

Given('a server that reads requests, then refuses them and reads on for {int} ms', async function (
  this: LingerWorld, maxMs: number
) {
  await listen(this, (req, res) => {
    req.resume().once('end', () => setImmediate(() => refuse(res, { maxMs })))
  })
})

async function listen (world: LingerWorld, handle: RequestListener): Promise<void> {
  world.readBytes = 0
  world.answer = ''
  world.lingerServer = createServer(handle)
  await new Promise<void>((resolve) => world.lingerServer.listen(0, '127.0.0.1', resolve))
}

function refuse (res: ServerResponse, limits: LingerLimits): void {
  res.writeHead(413, { 'Content-Length': '7', Connection: 'close' })
  closeLingering(res, 'refused', limits)
}

function open (world: LingerWorld, head: string): Socket {
  const socket = connect((world.lingerServer.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', (cause) => { world.failure = cause })
  world.closed = new Promise((resolve) => socket.on('close', resolve))
  world.lingerCaller = socket
  socket.write(`POST /x HTTP/1.1\r\nHost: h\r\n${head}\r\n\r\n`)
  return socket
}

function readAnswer (world: LingerWorld): void {
  world.lingerCaller.on('data', (bytes) => { world.answer += String(bytes) })
}

When('a caller sends a body of {int} bytes before it reads', { timeout: STEP_TIMEOUT_MS }, async function (
  this: LingerWorld, bytes: number
) {
  const socket = open(this, `Content-Length: ${bytes}`)
  await new Promise<void>((resolve) => socket.write('x'.repeat(bytes), () => resolve()))
  readAnswer(this)
  await this.closed
})

When('a caller sends a body without end', { timeout: STEP_TIMEOUT_MS }, async function (this: LingerWorld) {
  const socket = open(this, 'Transfer-Encoding: chunked')
  readAnswer(this)
  while (!socket.destroyed) {
    if (!socket.write(CHUNK)) await Promise.race([once(socket, 'drain').catch(() => undefined), this.closed])
  }
})

When('a caller announces a body and stops short', function (this: LingerWorld) {
  open(this, 'Content-Length: 100').write('x')
  readAnswer(this)
})

Then('it has read the refusal', function (this: LingerWorld) {
  assert.match(this.answer, /^HTTP\/1.1 413 .*refused$/s)
})

Then('its connection was closed in order', function (this: LingerWorld) {
  assert.equal(this.failure, undefined)
})

Then('its connection is closed', { timeout: STEP_TIMEOUT_MS }, async function (this: LingerWorld) {
  await this.closed
})

Then('the server has read at most {int} bytes of it', function (this: LingerWorld, most: number) {
  assert.ok(this.readBytes <= most, `${this.readBytes} bytes`)
})

After(function (this: Partial<LingerWorld>) {
  this.lingerCaller?.destroy()
  this.lingerServer?.closeAllConnections()
  this.lingerServer?.close()
})
