import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Dispatcher } from 'undici'
import { createResponseReceiver, type ResponseReceiver } from './responseReceiver'

interface ReceiverWorld {
  receiver: ResponseReceiver
  controller: Dispatcher.DispatchController
  isTargetPaused: boolean
  chunkBytes: number
  sentChunks: number
  readChunks: Uint8Array[]
}

const STATUS_OK = 200
/** A target that is not paused by then is not paused at all. */
const MAX_SENT_CHUNKS = 1000
const CHUNK_NUMBERS = 256

function sendChunk (world: ReceiverWorld): void {
  const chunk = Buffer.alloc(world.chunkBytes, world.sentChunks % CHUNK_NUMBERS)
  world.sentChunks += 1
  world.receiver.handler.onResponseData!(world.controller, chunk)
}

async function readChunks (world: ReceiverWorld, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const next = await world.receiver.read()
    assert.ok(next.isOk() && next.value !== undefined)
    world.readChunks.push(next.value)
  }
}

Given('a target that sends its answer in chunks of {int} bytes until it is paused', function (
  this: ReceiverWorld, bytes: number
) {
  Object.assign(this, { isTargetPaused: false, chunkBytes: bytes, sentChunks: 0, readChunks: [] })
  this.receiver = createResponseReceiver()
  this.controller = {
    pause: () => { this.isTargetPaused = true },
    resume: () => { this.isTargetPaused = false }
  } as Partial<Dispatcher.DispatchController> as Dispatcher.DispatchController
  this.receiver.handler.onResponseStart!(this.controller, STATUS_OK, {}, 'OK')
  while (!this.isTargetPaused && this.sentChunks < MAX_SENT_CHUNKS) sendChunk(this)
})

Then('at most {int} bytes wait to be read', function (this: ReceiverWorld, most: number) {
  assert.ok(this.isTargetPaused)
  assert.ok(this.sentChunks * this.chunkBytes <= most, `${this.sentChunks} chunks`)
})

When('the answer is read and {int} more such chunks arrive', async function (this: ReceiverWorld, more: number) {
  await readChunks(this, this.sentChunks)
  assert.equal(this.isTargetPaused, false)
  for (let index = 0; index < more; index++) {
    sendChunk(this)
    await readChunks(this, 1)
  }
})

Then('every chunk is read in order, and the target is no longer paused', function (this: ReceiverWorld) {
  assert.equal(this.isTargetPaused, false)
  assert.equal(this.readChunks.length, this.sentChunks)
  this.readChunks.forEach((chunk, index) => {
    assert.ok(Buffer.alloc(this.chunkBytes, index % CHUNK_NUMBERS).equals(chunk), `chunk ${index}`)
  })
})
