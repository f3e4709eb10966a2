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
  /** Number of requests that reached the upstream. */
  requests: number
}

const ANSWER = 'an answer'

function sendRequest (world: LinkWorld, localAddress?: string): void {
  const [host, port] = world.link.address.split(':')
  const client = connect({ port: Number(port), host, localAddress }, () => client.write('request'))
  world.client = client
  world.received = ''
  client.on('data', (bytes) => { world.received += String(bytes) })
  client.on('end', () => { world.ending = client.remoteAddress === undefined ? 'reset' : 'close' })
  client.on('error', () => { world.ending = 'reset' })
}

Given('a link to a server that answers and then ends the connection by a {word}', async function (
  this: LinkWorld, by: 'close' | 'reset'
) {
  this.requests = 0
  this.upstream = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      this.requests += 1
      socket.write(ANSWER)
      if (by === 'close') socket.end()
      else socket.resetAndDestroy()
    })
  })
  this.upstream.listen(0, '127.0.0.1')
  await once(this.upstream, 'listening')
  this.link = await createLink(`127.0.0.1:${(this.upstream.address() as AddressInfo).port}`)
})

Given('a link to a server that answers and keeps connections open', async function (this: LinkWorld) {
  this.upstream = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.on('data', () => socket.write(ANSWER))
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

When(/^the link keeps back the bytes of ([\d.]+) and a client there sends a request$/, async function (
  this: LinkWorld, address: string
) {
  this.link.setModeFrom([address], 'held')
  sendRequest(this, address)
  await once(this.client, 'connect')
})

When(/^the link is open again to ([\d.]+)$/, function (this: LinkWorld, address: string) {
  this.link.setModeFrom([address], 'open')
})

Then(/^a client at ([\d.]+) receives the answer$/, async function (this: LinkWorld, address: string) {
  const other = { ...this }
  sendRequest(other, address)
  await once(other.client, 'close')
  assert.equal(other.received, ANSWER)
})

Then('within {int} ms the upstream gets no request', async function (this: LinkWorld, ms: number) {
  await pause(ms)
  assert.equal(this.requests, 0)
})

When(/^a client at ([\d.]+) is connected and the link then refuses new connections of that address$/, async function (
  this: LinkWorld, address: string
) {
  sendRequest(this, address)
  await once(this.client, 'data')
  this.link.setModeFrom([address], 'refuseNew')
})

Then('the client receives an answer to its request', async function (this: LinkWorld) {
  this.received = ''
  this.client.write('request')
  await once(this.client, 'data')
  assert.equal(this.received, ANSWER)
})

Then(/^a new connection from ([\d.]+) is reset$/, async function (this: LinkWorld, address: string) {
  const other: LinkWorld = { ...this, ending: undefined }
  sendRequest(other, address)
  await waitUntil(() => other.ending !== undefined)
  assert.deepEqual([other.received, other.ending], ['', 'reset'])
})

Then('the client receives the answer, and its connection is ended by a {word}', async function (
  this: LinkWorld, by: string
) {
  await waitUntil(() => this.ending !== undefined)
  assert.deepEqual([this.received, this.ending], [ANSWER, by])
})

After({ tags: '@link' }, async function (this: LinkWorld) {
  this.client.destroy()
  await this.link.close()
  this.upstream.close()
})
