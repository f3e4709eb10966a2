import assert from 'node:assert/strict'
import { setTimeout as pause } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { computeAnswer, type EngineStandin } from '@pimentoplank/standins'
import { request } from 'undici'
import { hashPrompt, OBJECT_KINDS } from '../../shared'
import { createEntryBench, MODEL, readEvents, type Reply } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const TOKENS = 12
/** Crashes within 100 ms count as one. */
const CRASH_PAUSE_MS = 120
const PROBE_PAUSE_MS = 200
/** Limit on the wait for the first probe of a refusal. */
const PROBE_TIMEOUT_MS = 30_000

interface QuarantineWorld extends EntryWorld {
  concurrent: Array<{ prompt: string, reply: Promise<Reply> }>
}

Given('the entry bench with {int} entries, {int} engines and settings {word}', async function (
  this: QuarantineWorld, entries: number, engines: number, settings: string
) {
  this.bench = await createEntryBench({ entries, engines, settings: JSON.parse(settings) })
})

async function sendPrompt ({ bench }: EntryWorld, prompt: string, entry: number): Promise<Reply> {
  const body = { model: MODEL, prompt, max_tokens: TOKENS }
  return await bench.send('/v1/completions', { entry, method: 'POST', body })
}

const COMMON_MESSAGE = { role: 'system', content: 'You answer travellers.' }

async function sendChat ({ bench }: EntryWorld, message: string, question: string, entry: number): Promise<Reply> {
  const messages = [COMMON_MESSAGE, { role: 'user', content: message }, { role: 'user', content: question }]
  const body = { model: MODEL, messages, max_tokens: TOKENS }
  return await bench.send('/v1/chat/completions', { entry, method: 'POST', body })
}

When('chats with the message {string} and a question of their own are sent {int} times, to each entry in turn', async function (
  this: QuarantineWorld, message: string, count: number
) {
  for (let index = 0; index < count; index++) {
    this.reply = await sendChat(this, message, `question ${index}`, index % 2)
    await removeDeadEngines(this)
    // Engines do not crash at the same moment.
    await pause(CRASH_PAUSE_MS)
  }
})

When('a chat with the message {string} and a question of its own is sent to entry {int}', async function (
  this: QuarantineWorld, message: string, entry: number
) {
  this.reply = await sendChat(this, message, 'another question', entry)
})

Then('that chat is answered completely', function (this: QuarantineWorld) {
  assert.equal(this.reply.status, 200, this.reply.text)
  assert.equal(this.reply.json.choices[0].finish_reason, 'length')
})

Then('the last of them is refused with {int} {word}', function (this: QuarantineWorld, status: number, reason: string) {
  assert.deepEqual([this.reply.status, this.reply.json.reason], [status, reason], this.reply.text)
})

Then('at most {int} engines of the entry bench are dead', async function (this: QuarantineWorld, most: number) {
  const dead = (await findDeadEngines(this)).length
  assert.ok(dead <= most, `${dead} engines are dead`)
})

Given('the entry bench\'s engines crash on {word}', function (this: QuarantineWorld, marker: string) {
  for (const engine of this.bench.engines) engine.setFaults({ crashOn: marker })
})

When('the entry bench\'s engines crash no more', function (this: QuarantineWorld) {
  for (const engine of this.bench.engines) engine.setFaults({ crashOn: null })
})

Then('chats with the message {string} are soon answered at each entry', { timeout: PROBE_TIMEOUT_MS }, async function (
  this: QuarantineWorld, message: string
) {
  for (const entry of [0, 1]) {
    for (let index = 0; ; index++) {
      const reply = await sendChat(this, message, `later question ${index}`, entry)
      if (reply.status === 200) break
      assert.equal(reply.json.reason, 'quarantined', reply.text)
      await pause(PROBE_PAUSE_MS)
    }
  }
})

Given('the entry bench\'s engines hold streams after {int} tokens', function (this: QuarantineWorld, tokens: number) {
  for (const engine of this.bench.engines) engine.setFaults({ holdAfterTokens: tokens })
})

When('the entry bench\'s engines hold streams no more', function (this: QuarantineWorld) {
  for (const engine of this.bench.engines) engine.setFaults({ holdAfterTokens: null })
})

When('a request with prompt {string} is sent to entry {int}', async function (
  this: QuarantineWorld, prompt: string, entry: number
) {
  this.prompt = prompt
  this.reply = await sendPrompt(this, prompt, entry)
})

When('requests with prompts {string} and {string} run on engine 0', async function (
  this: QuarantineWorld, first: string, second: string
) {
  this.concurrent = [first, second].map((prompt) => ({ prompt, reply: sendPrompt(this, prompt, 0) }))
  await waitUntil(() => this.bench.engines[0]!.getRuns().filter((run) => run.tokens >= 1).length === 2)
})

When('engines {int} to {int} of the entry bench die together', async function (
  this: QuarantineWorld, first: number, last: number
) {
  await Promise.all(this.bench.engines.slice(first, last + 1).map(async (engine) => await engine.crash()))
})

Then('that request is refused with {int} {word}', function (this: QuarantineWorld, status: number, reason: string) {
  assert.deepEqual([this.reply.status, this.reply.json.reason], [status, reason], this.reply.text)
})

Then('that request is answered completely', function (this: QuarantineWorld) {
  assert.equal(this.reply.status, 200, this.reply.text)
  assert.equal(this.reply.json.choices[0].text, computeAnswer(this.prompt, TOKENS))
})

Then('the concurrent requests get complete answers', async function (this: QuarantineWorld) {
  for (const { prompt, reply } of this.concurrent) {
    const { status, json, text } = await reply
    assert.equal(status, 200, text)
    assert.equal(json.choices[0].text, computeAnswer(prompt, TOKENS))
  }
})

async function isAlive (engine: EngineStandin): Promise<boolean> {
  return await request(`http://${engine.getInstanceRecord().address}/v1/load`).then(async (res) => {
    await res.body.dump()
    return true
  }, () => false)
}

async function findDeadEngines ({ bench }: Pick<EntryWorld, 'bench'>): Promise<EngineStandin[]> {
  const alive = await Promise.all(bench.engines.map(isAlive))
  return bench.engines.filter((_, index) => !alive[index])
}

async function removeDeadEngines ({ bench }: Pick<EntryWorld, 'bench'>): Promise<void> {
  for (const engine of await findDeadEngines({ bench })) bench.membership.markLeaving(engine.getInstanceRecord().id, 'list')
}

When('the dead engines of the entry bench are removed from the list', async function (this: QuarantineWorld) {
  await removeDeadEngines(this)
})

Then('{int} engines of the entry bench are dead', async function (this: QuarantineWorld, count: number) {
  assert.equal((await findDeadEngines(this)).length, count)
})

Then('the platform of the entry bench holds no crash record', function (this: QuarantineWorld) {
  assert.deepEqual(this.bench.platform.readAll(OBJECT_KINDS.quarantine), [])
})

/** Writes what an instance stores once it has found that a line of the prompt crashes targets. */
function setFirstLineFoundAt ({ bench, prompt }: EntryWorld, foundAt: number): void {
  const [part] = hashPrompt(MODEL, { prompt }).partHashes
  assert.ok(part !== undefined)
  bench.platform.putObject(OBJECT_KINDS.quarantine, 'parts-test', { parts: [part], foundAt, probe: -1 })
}

When('the prompt {string}, {string} is streamed, and its first line is quarantined {int} ms after {int} tokens', async function (
  this: QuarantineWorld, first: string, second: string, ms: number, tokens: number
) {
  this.prompt = `${first}\n${second}`
  const body = { model: MODEL, prompt: this.prompt, max_tokens: TOKENS, stream: true }
  this.pending = this.bench.send('/v1/completions', { method: 'POST', body })
  this.pending.catch(() => undefined)
  await waitUntil(() => this.bench.engines[0]!.getRuns().some((run) => run.tokens >= tokens))
  await pause(ms)
  setFirstLineFoundAt(this, Date.now())
})

When('{int} ms later, every connection to engine {int} is silent and that line is quarantined no more', async function (
  this: QuarantineWorld, ms: number, index: number
) {
  this.bench.engines[index]!.setFaults({ silentStreams: 'all' })
  await pause(ms)
  assert.ok(this.bench.engines.slice(index + 1).every((engine) => engine.getRuns().length === 0))
  setFirstLineFoundAt(this, 0)
})

Then('the stream of that prompt is complete', async function (this: QuarantineWorld) {
  const events = readEvents((await this.pending).text)
  assert.deepEqual(events, { text: computeAnswer(this.prompt, TOKENS), tokens: TOKENS, done: true, error: undefined })
})
