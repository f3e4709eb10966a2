import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { Agent, request, type Dispatcher } from 'undici'
import { createManualClock, type ManualClock } from '../../../pimentoplank/features/support/manualClock'
import { callJson } from '../shared/testClient'
import type { CacheEvent } from './prefixCache'
import { createEngineStandin, computeAnswer, PREFIX_BLOCK_CHARS, type EngineStandin, type EngineStandinOptions } from '.'

const MODEL = 'desk-lm'
const STEP_MS = 20
const TOKENS = 6

interface OpenStream {
  prompt: string
  maxTokens: number
  id: string
  agent: Agent
  /** Resolves with the text of the token events; rejects when the connection is closed early. */
  text: Promise<string>
  getReceived: () => string
}

interface EngineWorld {
  clock: ManualClock
  engine: EngineStandin
  url: string
  streams: OpenStream[]
  firstText: string
}

After(async function (this: Partial<EngineWorld>) {
  await Promise.all(this.streams?.map(async (stream) => await stream.agent.destroy()) ?? [])
  await this.engine?.close()
})

async function startEngine (world: EngineWorld, options: EngineStandinOptions): Promise<void> {
  world.clock = createManualClock()
  world.engine = createEngineStandin({
    clock: world.clock,
    preloaded: [MODEL],
    tokenMs: STEP_MS,
    firstTokenMs: STEP_MS,
    tokenSlopeMs: 1,
    cacheBlocks: 4,
    cacheEventGapEvery: 3,
    ...options
  })
  world.url = (await world.engine.start()).url
  world.streams = []
}

Given('an engine stand-in with {int} slots', async function (this: EngineWorld, slots: number) {
  await startEngine(this, { slots })
})

Given('an engine stand-in that checks fencing: {string}', async function (this: EngineWorld, checks: string) {
  await startEngine(this, { checksFencing: checks === 'yes' })
})

Given('the engine stand-in crashes on {string}', function (this: EngineWorld, crashOn: string) {
  this.engine.setFaults({ crashOn })
})

Given('the engine stand-in closes connections after {int} tokens',
  function (this: EngineWorld, cutAfterTokens: number) {
    this.engine.setFaults({ cutAfterTokens })
  })

Given('the engine stand-in falls silent for {int} ms after {int} tokens',
  function (this: EngineWorld, ms: number, afterTokens: number) {
    this.engine.setFaults({ silence: { afterTokens, ms } })
  })

Given('the engine stand-in is {string}', function (this: EngineWorld, state: string) {
  this.engine.setFaults({ busy: state === 'busy', leaving: state === 'leaving', failOn: state === 'failing' ? 'a' : null })
})

async function openStream (world: EngineWorld, prompt: string, maxTokens: number, resume?: object): Promise<void> {
  const agent = new Agent()
  const res = await request(`${world.url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    body: JSON.stringify({
      model: MODEL, max_tokens: maxTokens, stream: true, messages: [{ role: 'user', content: prompt }], resume
    })
  })
  let received = ''
  const text = readAll(res.body, (chunk) => { received += chunk }).then(() => joinTokens(received))
  text.catch(() => undefined)
  const id = String(res.headers['x-stream-id'])
  world.streams.push({ prompt, maxTokens, id, agent, text, getReceived: () => joinTokens(received) })
}

async function readAll (body: Dispatcher.ResponseData['body'], onChunk: (chunk: string) => void): Promise<void> {
  for await (const chunk of body) onChunk(String(chunk))
}

function joinTokens (events: string): string {
  const complete = events.split('\n\n').filter((event) => event.startsWith('data: {'))
  return complete.map((event) => {
    const { choices } = JSON.parse(event.slice('data: '.length)) as { choices: Array<{ delta: { content: string } }> }
    return choices[0]!.delta.content
  }).join('')
}

async function advanceUntilSettled<Value> (world: EngineWorld, work: Promise<Value>): Promise<Value> {
  const settled = new AbortController()
  const result = work.finally(() => settled.abort())
  result.catch(() => undefined)
  while (!settled.signal.aborted) await world.clock.advance(STEP_MS)
  return await result
}

async function advanceUntil (world: EngineWorld, test: () => boolean): Promise<void> {
  while (!test()) await world.clock.advance(STEP_MS)
}

When('the engine stand-in gets the prompt {string} for {int} tokens',
  async function (this: EngineWorld, prompt: string, maxTokens: number) {
    await openStream(this, prompt, maxTokens)
  })

When('the engine stand-in gets {int} long prompts', async function (this: EngineWorld, count: number) {
  for (let index = 0; index < count; index++) {
    await openStream(this, String(index).repeat(PREFIX_BLOCK_CHARS), 1)
    await this.clock.advance(2 * STEP_MS)
  }
})

When('{int} ms pass for the engine stand-in', async function (this: EngineWorld, ms: number) {
  await this.clock.advance(ms)
})

When('the engine stand-in completes all streams', async function (this: EngineWorld) {
  await advanceUntilSettled(this, Promise.all(this.streams.map(async (stream) => await stream.text)))
})

When('stream 1 of the engine stand-in is cancelled', async function (this: EngineWorld) {
  const [stream] = this.streams
  await callJson('DELETE', `${this.url}/v1/streams/${stream!.id}`)
  await stream!.text.catch(() => undefined)
  this.firstText = stream!.getReceived()
})

When('stream 1 of the engine stand-in is resumed', async function (this: EngineWorld) {
  const [stream] = this.streams
  const tokens = this.firstText.split(' ').length - 1
  const resume = { stream_id: stream!.id, tokens, text: this.firstText }
  await openStream(this, stream!.prompt, stream!.maxTokens, resume)
})

When('the reader of stream 1 of the engine stand-in disconnects', async function (this: EngineWorld) {
  await this.streams[0]!.agent.destroy()
})

When('the engine stand-in is restarted', async function (this: EngineWorld) {
  await this.engine.start()
})

When('the open connections of the engine stand-in become silent', function (this: EngineWorld) {
  this.engine.setFaults({ silentStreams: true })
})

When('the engine stand-in gets an order {string} to load {string} with fencing {int}',
  async function (this: EngineWorld, orderId: string, model: string, fencing: number) {
    await callJson('POST', `${this.url}/v1/orders`, { orderId, fencing, action: 'load', model, version: '1' })
  })

Then('stream {int} of the engine stand-in is complete', async function (this: EngineWorld, number: number) {
  const stream = this.streams[number - 1]!
  assert.equal(await advanceUntilSettled(this, stream.text), computeAnswer(stream.prompt, stream.maxTokens))
})

Then('the connection of stream {int} of the engine stand-in is closed',
  async function (this: EngineWorld, number: number) {
    await assert.rejects(advanceUntilSettled(this, this.streams[number - 1]!.text))
  })

Then('stream {int} of the engine stand-in has sent nothing', function (this: EngineWorld, number: number) {
  assert.equal(this.streams[number - 1]!.getReceived(), '')
})

Then('streams 1 and 2 of the engine stand-in form one complete answer', async function (this: EngineWorld) {
  const rest = await advanceUntilSettled(this, this.streams[1]!.text)
  assert.notEqual(this.firstText, '')
  assert.equal(this.firstText + rest, computeAnswer(this.streams[0]!.prompt, this.streams[0]!.maxTokens))
})

Then('the engine stand-in returns the complete answer to {string} in one body',
  async function (this: EngineWorld, prompt: string) {
    const reply = await advanceUntilSettled(this,
      callJson('POST', `${this.url}/v1/completions`, { model: MODEL, prompt, max_tokens: TOKENS }))
    const body = reply.body as { choices: Array<{ text: string }>, usage: { completion_tokens: number } }
    assert.equal(body.choices[0]!.text, computeAnswer(prompt, TOKENS))
    assert.equal(body.usage.completion_tokens, TOKENS)
  })

Then('the engine stand-in has {int} running and {int} waiting',
  function (this: EngineWorld, running: number, waiting: number) {
    assert.deepEqual(this.engine.getLoad(), { running, waiting })
  })

Then('the engine stand-in generated {int} tokens for {string}',
  function (this: EngineWorld, tokens: number, prompt: string) {
    assert.equal(this.engine.getRuns().find((run) => run.content === prompt)?.tokens, tokens)
  })

Then('the engine stand-in ran {string}', function (this: EngineWorld, prompts: string) {
  assert.equal(this.engine.getRuns().map((run) => run.content).join(', '), prompts)
})

Then('the engine stand-in ran {string} to the outcome {string}',
  async function (this: EngineWorld, prompt: string, outcome: string) {
    await advanceUntil(this, () => this.engine.getLoad().running === 0)
    assert.equal(this.engine.getRuns().find((run) => run.content === prompt)?.outcome, outcome)
  })

Then('the engine stand-in refuses to resume after the wrong text', async function (this: EngineWorld) {
  const resume = { tokens: 2, text: 'something else' }
  const reply = await callJson('POST', `${this.url}/v1/completions`, { model: MODEL, prompt: 'a', resume })
  assert.equal(reply.status, 400)
})

Then('the engine stand-in refuses {string} with {int} {string}',
  async function (this: EngineWorld, model: string, status: number, code: string) {
    const reply = await callJson('POST', `${this.url}/v1/completions`, { model, prompt: 'a' })
    assert.equal(reply.status, status)
    assert.equal((reply.body as { error: { code: string } }).error.code, code)
  })

Then('the engine stand-in has the models {string}', function (this: EngineWorld, names: string) {
  assert.equal(this.engine.getState().models.map((model) => model.name).join(', '), names)
})

Then('the engine stand-in applied {string}', function (this: EngineWorld, applied: string) {
  assert.equal(this.engine.getOrders().map((order) => order.applied).join(', '), applied)
})

Then('the engine stand-in reports {int} running', async function (this: EngineWorld, running: number) {
  const reply = await callJson('GET', `${this.url}/v1/load`)
  assert.equal((reply.body as { running: number }).running, running)
})

async function readCacheEvents (world: EngineWorld): Promise<CacheEvent[]> {
  const reply = await callJson('GET', `${world.url}/v1/cache-events?after=0`)
  return (reply.body as { events: CacheEvent[] }).events
}

Then('the engine stand-in has published no cache event', async function (this: EngineWorld) {
  assert.deepEqual(await readCacheEvents(this), [])
})

Then('the engine stand-in has published cache events with a gap and an eviction', async function (this: EngineWorld) {
  const events = await readCacheEvents(this)
  assert.deepEqual(events.map((event) => event.seq), [1, 2, 4, 5, 7, 8])
  assert.equal(events.filter((event) => event.kind === 'evicted').length > 0, true)
})
