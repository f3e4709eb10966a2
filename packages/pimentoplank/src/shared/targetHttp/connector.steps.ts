import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createConnector, isConnectFailure } from '.'

interface ConnectorWorld {
  blocked?: Worker
  fillers: Socket[]
  port: number
  failures: Array<{ cause: Error | null, ms: number }>
}

/** Listens, reports its port and then blocks its event loop, so that the kernel's queue is soon full. */
const LISTEN_AND_BLOCK = `
  const { parentPort } = require('node:worker_threads')
  const server = require('node:net').createServer()
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port)
    setTimeout(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0), 20)
  })`
/** More connections than the kernel's queue takes. */
const FILLERS = 4
const BLOCKING_MS = 100

Given('a server that accepts no more connections', async function (this: ConnectorWorld) {
  this.blocked = new Worker(LISTEN_AND_BLOCK, { eval: true })
  const [port] = await once(this.blocked, 'message') as [number]
  this.port = port
  await new Promise((resolve) => setTimeout(resolve, BLOCKING_MS))
  this.fillers = Array.from({ length: FILLERS }, () => connect(port, '127.0.0.1').on('error', () => undefined))
  await new Promise((resolve) => setTimeout(resolve, BLOCKING_MS))
})

When('a connector with a timeout of {int} ms connects to it {int} times', async function (
  this: ConnectorWorld, timeoutMs: number, count: number
) {
  const connectOnce = createConnector({ timeoutMs })
  this.failures = await Promise.all(Array.from({ length: count }, async () => {
    const from = performance.now()
    return await new Promise<{ cause: Error | null, ms: number }>((resolve) => {
      const options = { hostname: '127.0.0.1', protocol: 'http:', port: String(this.port) }
      connectOnce(options, (...[cause]) => resolve({ cause, ms: performance.now() - from }))
    })
  }))
})

Then('each attempt fails as a timeout after {int} to {int} ms', function (
  this: ConnectorWorld, least: number, most: number
) {
  for (const { cause, ms } of this.failures) {
    assert.ok(isConnectFailure(cause), String(cause))
    assert.ok(ms >= least - 1 && ms <= most, `after ${Math.round(ms)} ms`)
  }
})

After(async function (this: Partial<ConnectorWorld>) {
  this.fillers?.forEach((socket) => socket.destroy())
  await this.blocked?.terminate()
})
