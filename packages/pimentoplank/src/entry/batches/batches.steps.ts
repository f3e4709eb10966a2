import assert from 'node:assert/strict'
import { Given, Then, When, type DataTable } from '@cucumber/cucumber'
import { Hono } from 'hono'
import { request } from 'undici'
import {
  accountEntry, toChunkName, configEntry, createInMemoryMetrics, createSilentLog, createSnapshot, createStaticConfig,
  OBJECT_KINDS, parseChunkName, toSegmentName, serveHttp, toUploadPrefix,
  type AccountEntry, type CheckpointRecord, type ChunkRecord, type JobRecord, type Problem
} from '../../shared'
import type { EntryEnv } from '../context'
import { createMemoryPlatform, type CallFault, type MemoryPlatform } from '../../../features/support/memoryPlatform'
import { createBatchRoutes, type JobView } from '.'

interface Answer {
  status: number
  headers: Headers
  body: JobView & Problem
}

interface BatchesWorld {
  batchPlatform: MemoryPlatform
  batchApp: Hono<EntryEnv>
  batchAnswer: Answer
  batchAnswers: Answer[]
}

const FAULTS: Record<string, CallFault> = { down: 'down', 'losing answers': 'loseAnswer' }

function createAccount (name: string, role: AccountEntry['role'] = 'caller'): AccountEntry {
  return accountEntry.parse({ kind: 'account', name, keyHash: '0'.repeat(64), role })
}

function createApp (world: BatchesWorld, id: string): Hono<EntryEnv> {
  const model = configEntry.parse({ kind: 'model', name: 'desk', service: 'desk-lm', version: '1' })
  const config = createStaticConfig(createSnapshot(1, [model]))
  const limits = { chunkItems: 4, maxItems: 10_000 }
  const app = new Hono<EntryEnv>()
  app.use(async (c, next) => {
    const name = c.req.header('x-account') ?? 'dunes'
    c.set('account', createAccount(name, name === 'ops' ? 'operator' : 'caller'))
    c.set('requestId', 'request')
    c.set('log', createSilentLog())
    await next()
  })
  return app.route('/v1/batches', createBatchRoutes({
    platform: world.batchPlatform.client(id), config, metrics: createInMemoryMetrics(), limits
  }))
}

function createLines (count: number): string[] {
  return Array.from({ length: count }, (_, index) =>
    JSON.stringify({ id: `item-${index}`, body: { messages: [{ role: 'user', content: `roster ${index}` }] } }))
}

async function sendRequest (app: Hono<EntryEnv>, path: string, init: RequestInit = {}): Promise<Answer> {
  const res = await app.request(`/v1/batches${path}`, init)
  return { status: res.status, headers: res.headers, body: await res.json() as Answer['body'] }
}

async function upload (app: Hono<EntryEnv>, caller: string, key: string, body: string): Promise<Answer> {
  const headers = { 'x-account': caller, 'idempotency-key': key }
  return await sendRequest(app, '?model=desk', { method: 'POST', headers, body })
}

function listChunks (world: BatchesWorld): string[] {
  return world.batchPlatform.objects(OBJECT_KINDS.chunk)
    .filter(({ name }) => parseChunkName(name)!.index >= 0)
    .map(({ name }) => name)
}

function listItemIds (world: BatchesWorld, prefix = ''): string[] {
  return world.batchPlatform.objects(OBJECT_KINDS.chunk)
    .filter(({ name }) => name.startsWith(prefix) && parseChunkName(name)!.index >= 0)
    .flatMap(({ value }) => (value as ChunkRecord).items.map(({ id }) => id))
}

function getOnlyJob (world: BatchesWorld): { name: string, job: JobRecord } {
  const jobs = world.batchPlatform.objects(OBJECT_KINDS.job)
  assert.equal(jobs.length, 1)
  return { name: jobs[0]!.name, job: jobs[0]!.value as JobRecord }
}

function createItemIds (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `item-${index}`)
}

Given('an entry instance that splits batch jobs into chunks of {int} items', function (
  this: BatchesWorld, _items: number
) {
  this.batchPlatform = createMemoryPlatform()
  this.batchApp = createApp(this, 'entry')
  this.batchAnswers = []
})

Given('the platform is {} at {word} of {string} for batch callers',
  function (this: BatchesWorld, fault: string, operation: string, kind: string) {
    this.batchPlatform.faultOf = (made) =>
      made.operation === operation && made.kind === kind ? FAULTS[fault] : undefined
  })

When('the platform serves batch callers again', function (this: BatchesWorld) {
  this.batchPlatform.faultOf = () => undefined
})

When('the batch caller {string} uploads {int} items with key {string}',
  async function (this: BatchesWorld, caller: string, count: number, key: string) {
    this.batchAnswer = await upload(this.batchApp, caller, key, createLines(count).join('\n'))
  })

When('the batch caller {string} uploads {int} items with key {string} through two instances at once',
  async function (this: BatchesWorld, caller: string, count: number, key: string) {
    const body = createLines(count).join('\n')
    const other = createApp(this, 'other')
    const uploads = [this.batchApp, other].map(async (app) => await upload(app, caller, key, body))
    this.batchAnswers = await Promise.all(uploads)
  })

When('the batch caller {string} uploads {int} items over TCP of which line {int} is invalid',
  async function (this: BatchesWorld, caller: string, count: number, invalid: number) {
    const server = (await serveHttp(this.batchApp, { host: '127.0.0.1', port: 0 }))._unsafeUnwrap()
    const body = createLines(count).map((line, index) => index === invalid - 1 ? line.slice(0, -1) : line).join('\n')
    const headers = { 'x-account': caller, 'idempotency-key': 'rosters' }
    const res = await request(`http://${server.address}/v1/batches?model=desk`, { method: 'POST', headers, body })
    const answer = await res.body.json() as Answer['body']
    this.batchAnswer = { status: res.statusCode, headers: new Headers(), body: answer }
    await server.close()
  })

When('the batch caller {string} uploads the lines', async function (
  this: BatchesWorld, caller: string, table: DataTable
) {
  const body = table.raw().map(([line]) => line).join('\n')
  this.batchAnswer = await upload(this.batchApp, caller, 'rosters', body)
})

When('checkpoints list results of 4 items of chunk 1 and 2 items of chunk 0, and a segment of chunk 0 is unlisted',
  async function (this: BatchesWorld) {
    const { name, job } = getOnlyJob(this)
    const client = this.batchPlatform.client('runner')
    const write = async (chunk: number, sequence: number, ids: string[]): Promise<string> => {
      const segment = toSegmentName(toChunkName(name, job.uploadId, chunk), 1, sequence)
      const results = ids.map((id) => ({ id, status: 'done' }))
      await client.put(OBJECT_KINDS.segment, segment, { results }, { ifRevision: 0 })
      return segment
    }
    const list = async (chunk: number, segment: string, done: number): Promise<void> => {
      const counts = { done, failed: 0, unknown: 0 }
      const checkpoint: CheckpointRecord = {
        epoch: 1,
        owner: null,
        state: 'open',
        items: 4,
        finished: '',
        started: '',
        counts,
        segments: [{ name: segment, results: done }]
      }
      await client.put(OBJECT_KINDS.checkpoint, toChunkName(name, job.uploadId, chunk), checkpoint, { ifRevision: 0 })
    }
    await list(1, await write(1, 0, ['item-4', 'item-5', 'item-6', 'item-7']), 4)
    await list(0, await write(0, 0, ['item-1', 'item-0']), 2)
    await write(0, 1, ['item-2'])
  })

When('the platform fails at the second segment', function (this: BatchesWorld) {
  let reads = 0
  this.batchPlatform.faultOf = ({ kind }) => kind === OBJECT_KINDS.segment && ++reads >= 2 ? 'down' : undefined
})

When('the job is done', async function (this: BatchesWorld) {
  const object = this.batchPlatform.objects(OBJECT_KINDS.job).find(({ name }) => name === this.batchAnswer.body.id)!
  const done = { ...object.value as JobRecord, state: 'done' }
  await this.batchPlatform.client('runner').put(OBJECT_KINDS.job, object.name, done, { ifRevision: object.revision })
})

Then('the batch answer is {int}', function (this: BatchesWorld, status: number) {
  assert.equal(this.batchAnswer.status, status, JSON.stringify(this.batchAnswer.body))
})

Then('the batch answer is {int} with reason {string}', function (this: BatchesWorld, status: number, reason: string) {
  assert.equal(this.batchAnswer.status, status, JSON.stringify(this.batchAnswer.body))
  assert.equal(this.batchAnswer.body.reason, reason)
})

Then('the batch answer names {string}', function (this: BatchesWorld, place: string) {
  assert.match(`${this.batchAnswer.body.detail} ${this.batchAnswer.body.field}`, new RegExp(`${place}\\b`))
})

Then('the batch answer has outcome {string} and a retry time', function (this: BatchesWorld, outcome: string) {
  assert.equal(this.batchAnswer.body.outcome, outcome)
  assert.ok(Number(this.batchAnswer.headers.get('retry-after')) > 0)
})

Then('one batch answer is {int} and the other {int}, with one id', function (
  this: BatchesWorld, one: number, other: number
) {
  assert.deepEqual(this.batchAnswers.map(({ status }) => status).sort(), [other, one])
  assert.equal(this.batchAnswers[0]!.body.id, this.batchAnswers[1]!.body.id)
})

Then('the platform stores 1 batch job and {int} chunks with those {int} items once each',
  function (this: BatchesWorld, chunks: number, items: number) {
    const { job } = getOnlyJob(this)
    assert.equal(job.items, items)
    assert.equal(job.chunks, chunks)
    assert.equal(listChunks(this).length, chunks)
    assert.deepEqual(listItemIds(this), createItemIds(items))
  })

Then('exactly the {int} items belong to the one batch job', function (this: BatchesWorld, items: number) {
  const { name, job } = getOnlyJob(this)
  assert.deepEqual(listItemIds(this, toUploadPrefix(name, job.uploadId)), createItemIds(items))
})

Then('the platform stores nothing of a batch job', function (this: BatchesWorld) {
  assert.equal(this.batchPlatform.objects(OBJECT_KINDS.job).length, 0)
  assert.equal(this.batchPlatform.objects(OBJECT_KINDS.chunk).length, 0)
})

Then('the batch caller {string} gets 404 for the job, its results and its cancellation',
  async function (this: BatchesWorld, caller: string) {
    const { name } = getOnlyJob(this)
    const headers = { 'x-account': caller }
    assert.equal((await sendRequest(this.batchApp, `/${name}`, { headers })).status, 404)
    assert.equal((await sendRequest(this.batchApp, `/${name}/results`, { headers })).status, 404)
    assert.equal((await sendRequest(this.batchApp, `/${name}/cancel`, { method: 'POST', headers })).status, 404)
  })

Then('the batch operator {string} reads the job', async function (this: BatchesWorld, operator: string) {
  const { name } = getOnlyJob(this)
  const answer = await sendRequest(this.batchApp, `/${name}`, { headers: { 'x-account': operator } })
  assert.equal(answer.status, 200)
  assert.equal(answer.body.account, 'dunes')
})

Then('the results contain the 6 listed ids once each, chunk 0 first', async function (this: BatchesWorld) {
  const res = await this.batchApp.request(`/v1/batches/${getOnlyJob(this).name}/results`)
  const ids = (await res.text()).trim().split('\n').map((line) => (JSON.parse(line) as { id: string }).id)
  assert.deepEqual(ids, ['item-1', 'item-0', 'item-4', 'item-5', 'item-6', 'item-7'])
})

Then('the job counts {int} done and {int} pending', async function (this: BatchesWorld, done: number, pending: number) {
  const answer = await sendRequest(this.batchApp, `/${getOnlyJob(this).name}`)
  assert.deepEqual(answer.body.counts, { total: done + pending, done, failed: 0, unknown: 0, pending, cancelled: 0 })
})

Then('reading the results fails midway', async function (this: BatchesWorld) {
  const res = await this.batchApp.request(`/v1/batches/${getOnlyJob(this).name}/results`)
  assert.equal(res.status, 200)
  await assert.rejects(res.text())
})

Then('cancelling the job answers {int}, then {int}', async function (
  this: BatchesWorld, first: number, second: number
) {
  const path = `/${this.batchAnswer.body.id}/cancel`
  const answers = [
    await sendRequest(this.batchApp, path, { method: 'POST' }),
    await sendRequest(this.batchApp, path, { method: 'POST' })
  ]
  assert.deepEqual(answers.map(({ status }) => status), [first, second])
})
