import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createDirectPool } from '../../../features/support/directPool'
import { createInMemoryMetrics, createSystemClock, type SendMark } from '../../shared'
import type { TargetConnection, TargetConnectionPool } from './connectionPool'
import { createResponseReceiver, type ResponseReceiver } from './responseReceiver'

interface PoolWorld {
  poolServer?: Server
  pool?: TargetConnectionPool
  requests: number
  mark: SendMark
  connection: TargetConnection
  receiver: ResponseReceiver
}

const TIMEOUT_MS = 5000

function getAddress (world: PoolWorld): string {
  return `127.0.0.1:${(world.poolServer!.address() as AddressInfo).port}`
}

function send (world: PoolWorld): void {
  world.mark = { sent: false }
  world.receiver = createResponseReceiver()
  world.connection = world.pool!.acquire(getAddress(world), 'request')
  world.connection.dispatch({ method: 'GET', path: '/', mark: world.mark }, world.receiver.handler)
}

Given('a server that counts its requests', async function (this: PoolWorld) {
  this.requests = 0
  this.poolServer = createServer((_req, res) => {
    this.requests += 1
    res.end('ok')
  })
  this.poolServer.listen(0, '127.0.0.1')
  await once(this.poolServer, 'listening')
  this.pool = createDirectPool({
    connectTimeoutMs: TIMEOUT_MS,
    idleTimeoutMs: TIMEOUT_MS,
    clock: createSystemClock(),
    metrics: createInMemoryMetrics()
  })
})

When('a request is sent there, and connections that are not established yet are dropped', function (this: PoolWorld) {
  send(this)
  this.pool!.dropConnecting()
})

When('a request is answered there, and connections that are not established yet are dropped', async function (this: PoolWorld) {
  send(this)
  assert.ok((await this.receiver.head()).isOk())
  while ((await this.receiver.read())._unsafeUnwrap() !== undefined);
  this.pool!.release(getAddress(this), this.connection)
  this.pool!.dropConnecting()
})

Then('the request fails within {int} ms without having been sent', async function (this: PoolWorld, ms: number) {
  const startedAt = performance.now()
  const head = await this.receiver.head()
  assert.ok(head.isErr(), 'the request was answered')
  assert.ok(performance.now() - startedAt <= ms)
  assert.equal(this.mark.sent, false)
})

Then('the server got no request', async function (this: PoolWorld) {
  await new Promise((resolve) => setTimeout(resolve, 50))
  assert.equal(this.requests, 0)
})

Then('the connection can carry another request', function (this: PoolWorld) {
  assert.equal(this.pool!.isUsable(this.connection), true)
  assert.equal(this.pool!.acquire(getAddress(this), 'other'), this.connection)
})

After(function (this: Partial<PoolWorld>) {
  this.pool?.close()
  this.poolServer?.close()
})
