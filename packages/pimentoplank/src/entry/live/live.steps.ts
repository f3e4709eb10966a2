import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { RefusalReason } from '../../shared'
import { computeAnswer, type EngineFaults } from '@pimentoplank/standins'
import { MODEL, readEvents, type SendOptions } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const PROMPT = 'Which route is open tomorrow?'
const PATHS: Record<string, string> = { chat: '/v1/chat/completions', completion: '/v1/completions' }

function createBody (kind: string, tokens: number, stream: boolean): object {
  const input = kind === 'chat' ? { messages: [{ role: 'user', content: PROMPT }] } : { prompt: PROMPT }
  return { model: MODEL, max_tokens: tokens, stream, ...input }
}

function startRequest (
  world: EntryWorld, kind: string, tokens: number, stream: boolean, options: SendOptions = {}
): void {
  world.pending = world.bench.send(PATHS[kind]!, { method: 'POST', body: createBody(kind, tokens, stream), ...options })
  world.pending.catch(() => undefined)
}

const ENGINE_FAULTS: Record<string, (world: EntryWorld, index: number) => unknown> = {
  'refuse connections': async ({ bench }, index) => await bench.engines[index]!.close(),
  'answer that it leaves': ({ bench }, index) => bench.engines[index]!.setFaults({ leaving: true }),
  'answer that it is busy': ({ bench }, index) => bench.engines[index]!.setFaults({ busy: true }),
  'miss the model': ({ bench }, index) => bench.engines[index]!.applyOrder({
    orderId: 'unload', fencing: 1, action: 'unload', model: MODEL, version: '1'
  }),
  'cut every 5 tokens': ({ bench }, index) => bench.engines[index]!.setFaults({ cutAfterTokens: 5 }),
  'go silent after a cut': ({ bench }, index) => bench.engines[index]!.setFaults({ silentStreams: 'all' })
}

Given(/^the entry bench makes engine (\d+) (.+)$/, async function (this: EntryWorld, index: string, fault: string) {
  await ENGINE_FAULTS[fault]!(this, Number(index))
})

Given('engine {int} of the entry falls silent for {int} ms after {int} tokens', function (
  this: EntryWorld, index: number, ms: number, afterTokens: number
) {
  this.bench.engines[index]!.setFaults({ silence: { afterTokens, ms } })
})

const REQUEST_FAULTS: Record<string, EngineFaults> = {
  fails: { failOn: PROMPT },
  'crashes on': { crashOn: PROMPT },
  'never begins': { silentStreams: 'all' }
}

Given(/^engine (\d+) of the entry (fails|crashes on|never begins) every request$/, function (
  this: EntryWorld, index: string, fault: string
) {
  this.bench.engines[Number(index)]!.setFaults(REQUEST_FAULTS[fault]!)
})

Given('the entry gets one slot, and then refusals as {word}', function (this: EntryWorld, reason: RefusalReason) {
  this.bench.slots.refuseAfterNextGrant(reason)
})

Given('the entry gets one slot, and then {int} refusals as {word}', function (
  this: EntryWorld, count: number, reason: RefusalReason
) {
  this.bench.slots.refuseAfterNextGrant(reason, count)
})

When('every connection to engine {int} goes silent after {int} tokens', async function (
  this: EntryWorld, index: number, tokens: number
) {
  await waitForTokens(this, index, tokens)
  this.bench.engines[index]!.setFaults({ silentStreams: 'all' })
})

When('the entry gets a {word} request for {int} tokens', function (this: EntryWorld, kind: string, tokens: number) {
  startRequest(this, kind, tokens, false)
})

When('the entry gets a streamed {word} request for {int} tokens', function (
  this: EntryWorld, kind: string, tokens: number
) {
  startRequest(this, kind, tokens, true)
})

When('the entry gets a {word} request for {int} tokens with header {word} {word}', function (
  this: EntryWorld, kind: string, tokens: number, name: string, value: string
) {
  startRequest(this, kind, tokens, false, { headers: { [name]: value } })
})

When('the entry gets a chat request that the engine rejects as invalid', function (this: EntryWorld) {
  const body = { model: MODEL, messages: [{ role: 'user', content: [{ type: 'picture' }] }] }
  startRequest(this, 'chat', 1, false, { body })
})

Then('the entry holds nothing against engine {int}', function (this: EntryWorld, index: number) {
  const reports = this.bench.slots.reports.filter(({ target }) => target === `engine-${index}`)
  assert.deepEqual(reports.map(({ result }) => result), ['revoked'])
})

async function waitForTokens ({ bench }: EntryWorld, index: number, tokens: number): Promise<void> {
  await waitUntil(() => bench.engines[index]!.getRuns().some((run) => run.tokens >= tokens))
}

When('the entry\'s connections to engine {int} go silent after {int} tokens', async function (
  this: EntryWorld, index: number, tokens: number
) {
  await waitForTokens(this, index, tokens)
  this.bench.engines[index]!.setFaults({ silentStreams: true })
})

When('engine {int} of the entry starts again once the entry has failed to connect to it', async function (
  this: EntryWorld, index: number
) {
  await waitUntil(() => (this.bench.metrics[0]!.snapshot().counters['retries.connectFailed'] ?? 0) > 0)
  await this.bench.engines[index]!.start()
})

When('engine {int} of the entry dies after {int} tokens', async function (
  this: EntryWorld, index: number, tokens: number
) {
  await waitForTokens(this, index, tokens)
  await this.bench.engines[index]!.crash()
})

async function restartAtVersion (world: EntryWorld, index: number, version: string, tokens: number): Promise<void> {
  const engine = world.bench.engines[index]!
  await waitForTokens(world, index, tokens)
  await engine.crash()
  engine.setSoftwareVersion(version)
  await engine.start()
}

When('engine {int} of the entry restarts at software version {word} after {int} tokens', async function (
  this: EntryWorld, index: number, version: string, tokens: number
) {
  await restartAtVersion(this, index, version, tokens)
  this.bench.membership.set(this.bench.engines.map((engine) => engine.getInstanceRecord()))
})

When('engine {int} of the entry restarts at software version {word} after {int} tokens, and the list lags', async function (
  this: EntryWorld, index: number, version: string, tokens: number
) {
  await restartAtVersion(this, index, version, tokens)
})

Then('engine {int} continued the entry\'s stream', function (this: EntryWorld, index: number) {
  assert.ok(this.bench.engines[index]!.getRuns().some((run) => run.from > 0 && run.outcome === 'done'))
})

Then('no engine of software version {word} continued the entry\'s stream', function (
  this: EntryWorld, version: string
) {
  const engines = this.bench.engines.filter((engine) => engine.getInstanceRecord().softwareVersion === version)
  assert.ok(engines.length > 0)
  assert.deepEqual(engines.flatMap((engine) => engine.getRuns()).filter((run) => run.from > 0), [])
})

When(
  'the entry gets a streamed chat request for {int} tokens whose caller disconnects after {int} tokens',
  async function (this: EntryWorld, tokens: number, read: number) {
    const disconnect = new AbortController()
    startRequest(this, 'chat', tokens, true, { signal: disconnect.signal })
    await waitForTokens(this, 0, read)
    disconnect.abort()
  })

Then('the entry answers 200 with the complete text of {int} tokens', async function (this: EntryWorld, tokens: number) {
  const { status, json } = await this.pending
  assert.equal(status, 200)
  assert.equal(json.choices[0].message?.content ?? json.choices[0].text, computeAnswer(PROMPT, tokens))
  assert.equal(json.usage.completion_tokens, tokens)
})

Then('the entry streams the complete text of {int} tokens, each once, with the closing event', async function (
  this: EntryWorld, tokens: number
) {
  const reply = await this.pending
  assert.equal(reply.status, 200, reply.text)
  const events = readEvents(reply.text)
  assert.equal(events.text, computeAnswer(PROMPT, tokens))
  assert.equal(events.tokens, tokens)
  assert.equal(events.done, true)
})

Then('the entry counts a retry for {word}', function (this: EntryWorld, reason: string) {
  assert.ok((this.bench.metrics[0]!.snapshot().counters[`retries.${reason}`] ?? 0) > 0)
})

Then('the entry holds no slot any more', async function (this: EntryWorld) {
  await waitUntil(() => this.bench.slots.getHeldCount() === 0)
})

Then('engine {int} ran the entry\'s request once', function (this: EntryWorld, index: number) {
  assert.equal(this.bench.engines[index]!.getRuns().length, 1)
})

Then('engine {int} of the entry ran nothing', function (this: EntryWorld, index: number) {
  assert.deepEqual(this.bench.engines[index]!.getRuns(), [])
})

Then('engine {int} of the entry has stopped every stream', async function (this: EntryWorld, index: number) {
  await this.pending?.catch(() => undefined)
  await waitUntil(() => this.bench.engines[index]!.getRuns().every((run) => run.outcome === 'cancelled'))
})

Then('the entry\'s stream ends with an error event and without the closing event', async function (this: EntryWorld) {
  this.reply = await this.pending
  const events = readEvents(this.reply.text)
  assert.equal(events.done, false)
  assert.ok(events.error !== undefined, this.reply.text)
  assert.ok(computeAnswer(PROMPT, 40).startsWith(events.text))
})

Then('the entry\'s stream has outcome {word}', function (this: EntryWorld, outcome: string) {
  assert.equal(readEvents(this.reply.text).error.outcome, outcome)
})

Then('the entry answers {int} with reason {word} and outcome {word}', async function (
  this: EntryWorld, status: number, reason: string, outcome: string
) {
  this.reply = await this.pending
  assert.deepEqual(
    { status: this.reply.status, reason: this.reply.json?.reason, outcome: this.reply.json?.outcome },
    { status, reason, outcome }, this.reply.text)
})

Then('the entry\'s answer says when to come back', function (this: EntryWorld) {
  assert.ok(Number(this.reply.headers['retry-after']) >= 1)
})

const ONCE_HEADERS = { 'x-no-repeat': 'true', 'idempotency-key': 'confirmation 12' }

When('the entry gets a streamed chat request for {int} tokens that runs at most once, at instance {int}', function (
  this: EntryWorld, tokens: number, entry: number
) {
  startRequest(this, 'chat', tokens, true, { entry, headers: ONCE_HEADERS })
})

When(
  'the entry gets a chat request for {int} tokens that runs at most once, at instance {int}, until it is settled',
  async function (this: EntryWorld, tokens: number, entry: number) {
    await waitUntil(async () => {
      startRequest(this, 'chat', tokens, false, { entry, headers: ONCE_HEADERS })
      return (await this.pending).json.reason !== 'onceInProgress'
    })
  })

Then('the entry streams the complete text again', async function (this: EntryWorld) {
  const events = readEvents((await this.pending).text)
  assert.equal(events.text, computeAnswer(PROMPT, 12))
  assert.equal(events.done, true)
})

Then('the entry\'s engines ran {int} request(s)', function (this: EntryWorld, count: number) {
  assert.equal(this.bench.engines.flatMap((engine) => engine.getRuns()).length, count)
})
