import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSnapshot, type InstanceRecord } from '../../shared'
import { MODEL, type Reply, type SendOptions } from '../testing/entryBench'
import type { EntryWorld } from '../testing/entryBench.steps'
import { waitUntil } from '../testing/waitUntil'

const CHAT = '/v1/chat/completions'
const VALID_BODY = { model: MODEL, max_tokens: 4, messages: [{ role: 'user', content: 'hello' }] }
const LEAVING_ID = 'entry-domain-1-0'

const INVALID_CALLS: Record<string, { path?: string } & SendOptions> = {
  'broken JSON': { body: '{"model": ' },
  'an unknown model': { body: { ...VALID_BODY, model: 'nobody' } },
  'an unknown adapter': { body: { ...VALID_BODY, model: `${MODEL}+nobody` } },
  'a wrong type': { body: { ...VALID_BODY, max_tokens: 'many' } },
  'no messages': { body: { ...VALID_BODY, messages: [] } },
  'an oversized body': { body: { ...VALID_BODY, user: 'x'.repeat(3000) } },
  'an oversized chunked body': { body: { ...VALID_BODY, user: 'x'.repeat(3000) }, chunked: true },
  'no key': { body: VALID_BODY, key: null },
  'an unknown key': { body: VALID_BODY, key: 'wrong' },
  'a broken timeout': { body: VALID_BODY, headers: { 'x-request-timeout-ms': 'soon' } },
  'no-repeat without a key': { body: VALID_BODY, headers: { 'x-no-repeat': 'true' } },
  'a call of an unknown service': { path: '/services/nobody/x', body: {} },
  'a call of an engine service': { path: '/services/desk-lm/x', body: {} },
  'an unknown path': { path: '/v1/nothing', body: {} }
}

When(/^a caller of the entry sends (.+)$/, function (this: EntryWorld, what: string) {
  const { path = CHAT, ...options } = INVALID_CALLS[what]!
  this.pending = this.bench.send(path, { method: 'POST', ...options })
})

Then('the entry\'s response names {word}', function (this: EntryWorld, field: string) {
  assert.equal(this.reply.json.field || undefined, field === 'nothing' ? undefined : field)
})

Then('the entry counts a refusal for {word}', function (this: EntryWorld, reason: string) {
  assert.equal(this.bench.metrics[0]!.snapshot().counters[`refusals.${reason}`], 1)
})

Then('no target of the entry ran anything', function (this: EntryWorld) {
  assert.deepEqual(this.bench.engines.flatMap((engine) => engine.getRuns()), [])
})

async function sendFromSlowAccount (world: EntryWorld): Promise<Reply> {
  return await world.bench.send(CHAT, { method: 'POST', body: VALID_BODY, key: 'key-of-slow' })
}

When('the slow account sends 2 requests to the entry', async function (this: EntryWorld) {
  await sendFromSlowAccount(this)
  this.pending = sendFromSlowAccount(this)
})

When('the slow account sends 2 requests to the entry at once', async function (this: EntryWorld) {
  sendFromSlowAccount(this).catch(() => undefined)
  await waitUntil(() => this.bench.engines[0]!.getRuns().length === 1)
  this.pending = sendFromSlowAccount(this)
})

Given('the entry\'s engine {int} pauses streams after {int} tokens', function (
  this: EntryWorld, index: number, tokens: number
) {
  this.bench.engines[index]!.setFaults({ holdAfterTokens: tokens })
})

Given('the entry has no configuration yet', function (this: EntryWorld) {
  this.bench.config.set(createSnapshot(0, []))
})

Given('the entry knows {int} instances in each of {int} failure domains, one of them leaving', function (
  this: EntryWorld, count: number, domains: number
) {
  const records: InstanceRecord[] = []
  for (let domain = 0; domain < domains; domain++) {
    for (let index = 0; index < count; index++) {
      const id = `entry-domain-${domain}-${index}`
      records.push({
        id,
        role: 'entry',
        address: `10.0.${domain}.${index}:80`,
        failureDomain: `domain-${domain}`,
        region: 'jo-south',
        state: id === LEAVING_ID ? 'leaving' : 'live'
      })
    }
  }
  this.bench.membership.set(records)
})

async function listDirectory (world: EntryWorld, key?: string): Promise<Array<{ id: string, failureDomain: string }>> {
  const { json } = await world.bench.send('/v1/instances?failureDomain=domain-1', { key })
  assert.equal(json.maxAgeMs, 5000)
  return json.instances
}

Then('the entry\'s directory for domain-1 starts with {int} instances of domain-1', async function (
  this: EntryWorld, count: number
) {
  const domains = (await listDirectory(this)).map((instance) => instance.failureDomain)
  assert.deepEqual(domains, [...Array(count).fill('domain-1'), ...Array(8 - count).fill('domain-0')])
})

Then('the entry\'s directory leaves out the leaving instance', async function (this: EntryWorld) {
  assert.ok((await listDirectory(this)).every((instance) => instance.id !== LEAVING_ID))
})

Then('the entry\'s directory differs between accounts', async function (this: EntryWorld) {
  const [ofDesk, ofSlow] = [await listDirectory(this), await listDirectory(this, 'key-of-slow')]
  assert.notDeepEqual(ofDesk.map((instance) => instance.id), ofSlow.map((instance) => instance.id))
})

Then('the entry lists the models {word} and {word}', async function (this: EntryWorld, first: string, second: string) {
  const { json } = await this.bench.send('/v1/models')
  assert.deepEqual(json.data.map((model: { id: string }) => model.id), [first, second])
})
