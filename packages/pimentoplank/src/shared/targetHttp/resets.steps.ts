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

When('the response is read through a target agent', async function (this: ResetWorld) {
  this.agent = createTargetAgent()
  const address = `127.0.0.1:${(this.rawServer!.address() as AddressInfo).port}`
  const res = await this.agent.request({ address, path: '/', method: 'GET' })
  this.received = ''
  this.state = 'complete'
  try {
    for await (const chunk of res.body) this.received += String(chunk)
  } catch {
    this.state = 'broken'
  }
})

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
