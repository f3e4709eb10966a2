import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createTargetAgent, type BodyFraming, type TargetAgent } from '.'

interface ResetWorld {
  rawServer?: Server
  agent?: TargetAgent
  received: string
  state: 'complete' | 'broken'
}

const BODY = 'the whole body of a response'
const PARTS: Record<string, string> = { none: '', half: BODY.slice(0, BODY.length / 2), all: BODY }
const HEADERS: Record<BodyFraming, string> = {
  length: `Content-Length: ${BODY.length}\r\nConnection: close\r\n`,
  chunks: 'Transfer-Encoding: chunked\r\nConnection: close\r\n',
  connection: ''
}
const HEAD_END_BYTES = 4
const DELAY_MS = 30

function encodePart (framing: BodyFraming, part: string): string {
  return framing === 'chunks' && part !== '' ? `${part.length.toString(16)}\r\n${part}\r\n` : part
}

function endConnection (socket: Socket, by: 'close' | 'reset'): void {
  if (by === 'close') socket.end()
  else socket.resetAndDestroy()
}

Given(/^a server that frames its response by (\w+), sends (\w+) of it and ends the connection by a (close|reset) (.+)$/, async function (
  this: ResetWorld, framing: BodyFraming, part: string, by: 'close' | 'reset', when: string
) {
  this.rawServer = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${HEADERS[framing]}\r\n${encodePart(framing, PARTS[part]!)}`)
      if (when === 'with the last bytes') endConnection(socket, by)
      else setTimeout(() => endConnection(socket, by), DELAY_MS)
    })
  })
  this.rawServer.listen(0, '127.0.0.1')
  await once(this.rawServer, 'listening')
})

Given(/^a server that responds at once without a length, and ends the connection after it has read (a part|all) of the request$/, async function (
  this: ResetWorld, read: string
) {
  this.rawServer = createServer({ allowHalfOpen: true }, (socket) => {
    let head = ''
    let left = Infinity
    socket.unref()
    socket.on('error', () => undefined)
    socket.once('end', () => socket.end())
    socket.on('data', (bytes) => {
      if (left === Infinity) {
        head += bytes.toString('latin1')
        const headEnd = head.indexOf('\r\n\r\n')
        if (headEnd < 0) return
        left = Number(/content-length: (\d+)/i.exec(head)?.[1]) - (head.length - headEnd - HEAD_END_BYTES)
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY}`)
      } else left -= bytes.length
      if (read === 'a part') socket.pause()
      if (read === 'a part' || left === 0) socket.end()
    })
  })
  this.rawServer.listen(0, '127.0.0.1')
  await once(this.rawServer, 'listening')
})

Given('a server that responds with status {}', async function (this: ResetWorld, status: string) {
  this.rawServer = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => socket.write(`HTTP/1.1 ${status} Status\r\n${HEADERS.length}\r\n${BODY}`))
  })
  this.rawServer.listen(0, '127.0.0.1')
  await once(this.rawServer, 'listening')
})

When('a request is sent through a target agent that gets no response', async function (this: ResetWorld) {
  await assert.rejects(sendRequest(this, { method: 'GET' }))
})

When('the response is read through a target agent', async function (this: ResetWorld) {
  await sendRequest(this, { method: 'GET' })
})

When('a request of {int} bytes is sent through a target agent', async function (this: ResetWorld, bytes: number) {
  await sendRequest(this, { method: 'POST', body: Buffer.alloc(bytes) })
})

async function sendRequest (world: ResetWorld, request: { method: string, body?: Buffer }): Promise<void> {
  world.agent = createTargetAgent()
  const address = `127.0.0.1:${(world.rawServer!.address() as AddressInfo).port}`
  const res = await world.agent.request({ address, path: '/', ...request })
  world.received = ''
  world.state = 'complete'
  try {
    for await (const chunk of res.body) world.received += String(chunk)
  } catch {
    world.state = 'broken'
  }
}

Then(/^the body of the response is (complete|broken)$/, function (this: ResetWorld, state: string) {
  assert.equal(this.state, state)
  if (state === 'complete') assert.equal(this.received, BODY)
})

Then('half of the body was received', function (this: ResetWorld) {
  assert.equal(this.received, PARTS.half)
})

After(async function (this: Partial<ResetWorld>) {
  await this.agent?.close()
  this.rawServer?.close()
})
