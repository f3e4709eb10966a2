import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { After, Before, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../shared'
import { createSilenceDetector, type Silence, type SilenceWatch, type SilenceDetector } from './silenceDetector'

interface ActivityWorld {
  detector: SilenceDetector
  isCertain?: boolean
  silences: Silence[]
  worker?: Worker
  socket?: Socket
}

const TARGET = 'target-1'
const FIRST_MS = 30
const GAP_MS = 20

Before(function (this: ActivityWorld) {
  this.detector = createSilenceDetector(createSystemClock())
})

async function waitUntilSilent (world: ActivityWorld, prepare?: (watch: SilenceWatch) => void): Promise<void> {
  world.isCertain = await new Promise((resolve) => {
    const watch = world.detector.watch(TARGET, {
      firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: ({ isCertain }) => resolve(isCertain)
    })
    prepare?.(watch)
  })
}

When('a request exceeds the timeout for its first bytes', async function (this: ActivityWorld) {
  await waitUntilSilent(this)
})

When('another request gets bytes', function (this: ActivityWorld) {
  const watch = this.detector.watch(TARGET, { firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: () => undefined })
  watch.recordBytes()
  watch.stop()
})

When('a request gets bytes and then exceeds the timeout between bytes', async function (this: ActivityWorld) {
  await waitUntilSilent(this, (watch) => watch.recordBytes())
})

When('a request is reported as silent, gets bytes and exceeds the timeout again', async function (this: ActivityWorld) {
  let reports = 0
  this.isCertain = await new Promise((resolve) => {
    const watch = this.detector.watch(TARGET, {
      firstMs: FIRST_MS,
      gapMs: GAP_MS,
      onSilent: ({ isCertain }) => {
        reports += 1
        if (reports === 1) setImmediate(() => watch.recordBytes())
        else resolve(isCertain)
      }
    })
  })
})

async function reportSilence (world: ActivityWorld, prepare?: (watch: SilenceWatch) => void): Promise<Silence> {
  return await new Promise((resolve) => {
    const watch = world.detector.watch(TARGET, { firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: resolve })
    prepare?.(watch)
  })
}

When('{int} requests get bytes and then exceed the timeout between bytes together', async function (
  this: ActivityWorld, count: number
) {
  this.silences = await Promise.all(Array.from(
    { length: count }, async () => await reportSilence(this, (watch) => watch.recordBytes())
  ))
})

When('{int} requests exceed the timeout for their first bytes one after the other', async function (
  this: ActivityWorld, count: number
) {
  this.silences = []
  for (let index = 0; index < count; index++) this.silences.push(await reportSilence(this))
})

Then('the target\'s silence is new in {int} report(s)', function (this: ActivityWorld, count: number) {
  assert.equal(this.silences.filter(({ isCertain, isNew }) => isCertain && isNew).length, count)
})

Then('the target is reported as silent for certain', function (this: ActivityWorld) {
  assert.equal(this.isCertain, true)
})

Then('the target is reported as possibly silent', function (this: ActivityWorld) {
  assert.equal(this.isCertain, false)
})

Given('a target in another thread that sends bytes every {int} ms', async function (this: ActivityWorld, ms: number) {
  this.worker = new Worker(`
    const { parentPort } = require('node:worker_threads')
    const server = require('node:net').createServer((socket) => {
      const timer = setInterval(() => socket.write('x'), ${ms})
      socket.on('error', () => undefined).on('close', () => clearInterval(timer))
    }).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
  `, { eval: true })
  const [port] = await once(this.worker, 'message') as [number]
  this.socket = connect(port, '127.0.0.1')
  await once(this.socket, 'data')
})

When('this instance is busy for {int} ms between its bytes', async function (this: ActivityWorld, ms: number) {
  const { socket } = this
  const watch = this.detector.watch(TARGET, {
    firstMs: FIRST_MS, gapMs: GAP_MS, onSilent: ({ isCertain }) => { this.isCertain = isCertain }
  })
  await once(socket!, 'data')
  watch.recordBytes()
  socket!.on('data', () => watch.recordBytes())
  const until = performance.now() + ms
  while (performance.now() < until);
  await once(socket!, 'data')
  watch.stop()
})

Then('the target is not reported as silent', function (this: ActivityWorld) {
  assert.equal(this.isCertain, undefined)
})

After(async function (this: ActivityWorld) {
  this.socket?.destroy()
  await this.worker?.terminate()
})
