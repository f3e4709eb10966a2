import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLink, type Link } from '.'

interface LinkWorld {
  upstream: Server
  link: Link
  client: Socket
  received: string
  /** Ports from which the link has connected to the upstream. */
  upstreamPorts: number[]
  ending?: 'close' | 'reset'
}

const ANSWER = 'an answer'

function sendRequest (world: LinkWorld): void {
  const [host, port] = world.link.address.split(':')
  const client = connect(Number(port), host, () => client.write('request'))
  world.client = client
  world.received = ''
  client.on('data', (bytes) => { world.received += String(bytes) })
  client.on('end', () => { world.ending = client.remoteAddress === undefined ? 'reset' : 'close' })
  client.on('error', () => { world.ending = 'reset' })
}

Given('a link to a server that answers and then ends the connection by a {word}', async function (
  this: LinkWorld, by: 'close' | 'reset'
) {
  this.upstream = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(ANSWER)
      if (by === 'close') socket.end()
      else socket.resetAndDestroy()
    })
  })
  this.upstream.listen(0, '127.0.0.1')
  await once(this.upstream, 'listening')
  this.link = await createLink(`127.0.0.1:${(this.upstream.address() as AddressInfo).port}`)
})

Given('a link to a server that keeps connections open', async function (this: LinkWorld) {
  this.upstreamPorts = []
  this.upstream = createServer((socket) => {
    this.upstreamPorts.push(socket.remotePort!)
    socket.on('error', () => undefined)
  })
  this.upstream.listen(0, '127.0.0.1')
  await once(this.upstream, 'listening')
  this.link = await createLink(`127.0.0.1:${(this.upstream.address() as AddressInfo).port}`)
})

When('a client sends a request through the link, which then goes silent', async function (this: LinkWorld) {
  sendRequest(this)
  await waitUntil(() => this.upstreamPorts.length === 1)
  this.link.setMode('silent')
})

Then('no connection to the upstream is half-open', function (this: LinkWorld) {
  assert.ok(!this.link.isHalfOpen(this.upstreamPorts[0]!))
})

When('the client closes its connection', function (this: LinkWorld) {
  this.client.destroy()
})

Then('the connection to the upstream is half-open', async function (this: LinkWorld) {
  await waitUntil(() => this.link.isHalfOpen(this.upstreamPorts[0]!))
})

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5)
}

When('the link drops the bytes of its upstream and a client sends a request', function (this: LinkWorld) {
  this.link.setMode('oneWay')
  sendRequest(this)
})

When('a client sends a request through the link', async function (this: LinkWorld) {
  sendRequest(this)
  await once(this.client, 'close')
})

Then('within {int} ms the client receives nothing and its connection stays open', async function (this: LinkWorld, ms: number) {
  await pause(ms)
  assert.deepEqual([this.received, this.ending], ['', undefined])
})

Then('the client receives the answer, and its connection is ended by a {word}', function (this: LinkWorld, by: string) {
  assert.deepEqual([this.received, this.ending], [ANSWER, by])
})

After({ tags: '@link' }, async function (this: LinkWorld) {
  this.client.destroy()
  await this.link.close()
  this.upstream.close()
})
