import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createMemoryPlatform, type MemoryPlatform } from '../../../features/support/memoryPlatform'
import { createInMemoryMetrics, createSilentLog, type PeerTransports, type RefusalError } from '../../shared'
import type { Route } from '../model'
import { RELAY_RULES } from '../rules'
import {
  createJobApi, createJobManager, createJobRegistry, createJobStore, createQuota, createRecordView,
  type JobApi, type JobItem, type JobManager, type JobRegistry
} from '.'

interface Instance {
  registry: JobRegistry
  manager: JobManager
  api: JobApi
}

interface JobApiWorld {
  clock: ManualClock
  memoryPlatform: MemoryPlatform
  items: JobItem[]
  instance: Instance
  submitting: Promise<Result<void, RefusalError>>
}

const JOB = 'job'
const OWNER = 'instance-1'
const STEP_MS = 20
/** Time that a call of the platform takes, in milliseconds. */
const ANSWER_MS = 10

const ROUTE: Route = {
  name: 'batch',
  host: 'h',
  pathPrefix: '/',
  kind: 'batch',
  services: [],
  timeoutMs: 1000,
  targetLatencyMs: 1000,
  targetGapMs: 1000,
  priority: 0,
  maxAttempts: 3,
  isResumable: true,
  batch: { completionTargetMs: 60_000, retentionMs: 60_000, maxWaitingTokens: 0 }
}

function createInstance ({ clock, memoryPlatform }: JobApiWorld, id: string): Instance {
  const log = createSilentLog()
  const metrics = createInMemoryMetrics()
  const store = createJobStore(memoryPlatform.client(id), clock)
  const registry = createJobRegistry({ self: id, noticeMs: 0, onNotice: () => undefined, clock, log })
  const neighbourhood = { peers: () => [], isLeaving: () => false }
  const common = { self: id, jobRegistry: registry, store, ...neighbourhood, clock, random: () => 0.5, metrics, log }
  const manager = createJobManager({
    ...common,
    table: () => undefined,
    onItemsReady: () => undefined,
    onStop: () => undefined,
    rules: { ...RELAY_RULES.jobs, keepMs: 60_000 }
  })
  const api = createJobApi({
    ...common,
    jobManager: manager,
    transports: {} as unknown as PeerTransports,
    quota: createQuota({ ...common, recordView: createRecordView(common) }),
    recordFollower: { mayDenyResults: () => true, refresh: async () => true },
    onAccepted: () => undefined
  })
  return { registry, manager, api }
}

async function submit ({ instance, items }: JobApiWorld): Promise<Result<void, RefusalError>> {
  return await instance.api.submit({ id: JOB, host: 'h', route: ROUTE, items })
}

async function pass ({ clock }: JobApiWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) await clock.advance(STEP_MS)
}

Given('an instance that has stored the results of {int} of the {int} items of a job', async function (
  this: JobApiWorld, stored: number, count: number
) {
  this.clock = createManualClock()
  this.memoryPlatform = createMemoryPlatform()
  this.memoryPlatform.delayOf = async () => await this.clock.sleep(ANSWER_MS)
  this.items = Array.from({ length: count }, (_, index) => (
    { id: `item-${index}`, path: '/x', headers: [], body: '', tokens: 1 }
  ))
  this.instance = createInstance(this, OWNER)
  const submitting = submit(this)
  await pass(this, 200)
  assert.ok((await submitting).isOk())
  const job = this.instance.registry.get(JOB)!
  for (const { id } of this.items.slice(0, stored)) job.finishItem({ item: id, completed: true, text: id })
  this.instance.manager.scheduleStore(job)
  await pass(this, 5000)
  assert.equal(job.storedResults().length, stored)
  this.instance.manager.close()
})

When('the instance has restarted, and the job is submitted again before stored jobs are taken over', async function (
  this: JobApiWorld
) {
  this.instance = createInstance(this, OWNER)
  this.submitting = submit(this)
  await pass(this, 100)
})

When('the instance has restarted, and the job is submitted again while stored jobs are taken over', async function (
  this: JobApiWorld
) {
  this.instance = createInstance(this, OWNER)
  this.instance.manager.recover().catch(assert.ifError)
  await this.clock.advance(1.5 * ANSWER_MS)
  this.submitting = submit(this)
  await pass(this, 100)
})

When('the job is ended at another instance', async function (this: JobApiWorld) {
  const ending = createInstance(this, 'instance-2').api.end(JOB)
  await pass(this, 200)
  assert.ok((await ending).isOk())
  // As heard by gossip.
  this.instance.registry.update(JOB, { owner: OWNER, epoch: 9, ended: true }, 'peer')
})

Then('the job is accepted, and lists its {int} results at any time of the next {int} s', async function (
  this: JobApiWorld, count: number, seconds: number
) {
  assert.ok((await this.submitting).isOk())
  for (let passedMs = 0; passedMs < seconds * 1000; passedMs += 100) {
    const reading = this.instance.api.read(JOB, 0, 0)
    await pass(this, 100)
    const page = (await reading)._unsafeUnwrap()
    assert.equal(page.results.length, count, `${page.results.length} results after ${passedMs} ms`)
  }
  this.instance.manager.close()
})

Then('{int} items of the job are open at the instance', function (this: JobApiWorld, count: number) {
  assert.equal(this.instance.registry.get(JOB)?.openItems().size, count)
})
