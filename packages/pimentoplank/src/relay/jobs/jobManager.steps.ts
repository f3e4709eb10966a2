import assert from 'node:assert/strict'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { createClient, createRouterTransport } from '@connectrpc/connect'
import { Given, Then, When } from '@cucumber/cucumber'
import { err, ok, ResultAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, JobService, PlatformUnavailable } from '../../shared'
import { createRouteTable, type RouteTable } from '../routing'
import { RELAY_RULES } from '../rules'
import {
  createJobManager, createJobRegistry, createJobService, type JobApi, type JobManager, type JobRegistry
} from '.'
import type { JobStore, StoredJob } from './jobStore'
import type { JobItem, ResultSegment } from './records'

interface ManagerWorld {
  clock: ManualClock
  manager: JobManager
  jobRegistry: JobRegistry
  stored: StoredJob
  items: JobItem[]
  segments: ResultSegment[]
  updateRecord: () => void
  /** Called before each write of results. */
  beforeWrite?: () => void
  takeover: Promise<boolean>
  table?: RouteTable
  /** Jobs whose runs were stopped. */
  stopped: string[]
  /** Number of next writes of results that are done without an answer. */
  unansweredWrites: number
  /** Number of next updates of the record that fail. */
  failingUpdates: number
  unansweredReads: number
  isLeaving: boolean
  isDeleted: boolean
}

const JOB = 'job'
const SELF = 'instance-1'
const TURNS = 20

async function settle (): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await nextTurn()
}

function resolved<Value> (value: Value): ResultAsync<Value, never> {
  return new ResultAsync(Promise.resolve(ok(value)))
}

function unanswered (): ResultAsync<never, PlatformUnavailable> {
  return new ResultAsync(Promise.resolve(err(new PlatformUnavailable('no answer'))))
}

Given('a job manager whose store holds a job of {int} items with this instance as its owner', function (this: ManagerWorld, count: number) {
  this.clock = createManualClock()
  this.segments = []
  this.unansweredWrites = 0
  this.failingUpdates = 0
  this.unansweredReads = 0
  this.isLeaving = false
  this.isDeleted = false
  this.stopped = []
  this.items = Array.from({ length: count }, (_, index) => (
    { id: `item-${index}`, path: '/x', headers: [], body: '', tokens: 1 }
  ))
  const record = {
    route: 'batch',
    host: 'h',
    owner: SELF,
    epoch: 1,
    submittedAt: 0,
    total: count,
    inputParts: 1,
    tokens: count,
    ended: false,
    finished: false
  }
  this.stored = { record, revision: 1, asOf: this.clock.now() }
  const canUpdate = new Promise<void>((resolve) => { this.updateRecord = resolve })
  const store: Partial<JobStore> = {
    read: () => resolved(this.isDeleted ? undefined : this.stored),
    list: () => resolved(new Map([[JOB, this.stored]])),
    readItems: () => resolved(this.items),
    readSegment: (_job, index) => {
      if (this.unansweredReads-- > 0) return unanswered()
      return resolved(this.segments[index]?.results)
    },
    update: (_job, next, revision) => new ResultAsync(canUpdate.then(() => {
      if (this.failingUpdates-- > 0) return err(new PlatformUnavailable('no answer'))
      this.stored = { record: next, revision: revision + 1, asOf: this.clock.now() }
      return ok(this.stored)
    })),
    writeSegment: (_job, index, segment) => {
      this.beforeWrite?.()
      this.segments[index] ??= segment
      if (this.unansweredWrites-- > 0) return unanswered()
      return resolved(this.segments[index])
    }
  }
  this.jobRegistry = createJobRegistry({
    self: SELF, noticeMs: 0, onNotice: () => undefined, clock: this.clock, log: createSilentLog()
  })
  this.manager = createJobManager({
    self: SELF,
    jobRegistry: this.jobRegistry,
    store: store as JobStore,
    table: () => this.table,
    peers: () => [],
    isLeaving: () => this.isLeaving,
    onItemsReady: () => undefined,
    onStop: ({ id }) => this.stopped.push(id),
    rules: { ...RELAY_RULES.jobs, keepMs: 60_000, maxObjectBytes: 1_048_576 },
    clock: this.clock,
    random: () => 0.5,
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  })
})

When('the takeover of the job waits for the store to update its record', async function (this: ManagerWorld) {
  this.takeover = this.manager.takeOver(JOB)
  await settle()
})

Given('the job was submitted {int} s ago by the wall clock, on a route with a retention of {int} s', async function (
  this: ManagerWorld, ageS: number, retentionS: number
) {
  await this.clock.advance(ageS * 1000)
  this.stored = { ...this.stored, record: { ...this.stored.record, submittedAt: this.clock.wallTime() - ageS * 1000 } }
  this.table = createRouteTable({
    version: 1,
    routes: [{
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
      batch: { completionTargetMs: 10_000, retentionMs: retentionS * 1000, maxWaitingTokens: 0 }
    }],
    services: new Map(),
    limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
  })
})

When('the configuration drops the route', function (this: ManagerWorld) {
  const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
  this.table = createRouteTable({ version: 2, routes: [], services: new Map(), limits })
})

When('the job manager ticks each second for {int} s', async function (this: ManagerWorld, seconds: number) {
  for (let second = 0; second < seconds; second++) {
    await this.clock.advance(1000)
    this.manager.tick()
    await settle()
  }
})

When('the job is taken over', async function (this: ManagerWorld) {
  this.updateRecord()
  assert.equal(await this.manager.takeOver(JOB), true)
})

When('the job is taken over with the results of all items stored, and the store does not answer {int} writes after that', async function (
  this: ManagerWorld, count: number
) {
  this.segments.push({ results: this.items.map(createResult) })
  this.updateRecord()
  assert.equal(await this.manager.takeOver(JOB), true)
  this.failingUpdates = count
})

Then('the record says that the job is finished', function (this: ManagerWorld) {
  assert.equal(this.stored.record.finished, true)
  this.manager.close()
})

When('the job manager ticks after {int} s', async function (this: ManagerWorld, seconds: number) {
  await this.clock.advance(seconds * 1000)
  this.manager.tick()
})

Then('{int} items of the job are open', function (this: ManagerWorld, count: number) {
  assert.equal(this.jobRegistry.get(JOB)!.openItems().size, count)
})

When('a peer hands the job over with event {int} of both items, and the store is slow', async function (
  this: ManagerWorld, event: number
) {
  this.takeover = this.manager.takeOver(JOB, new Map(this.items.map(({ id }) => (
    [id, { lastEventId: event, data: ['handed over'], failures: 0, crashes: 0 }]
  ))))
  await settle()
})

When('the first item of the job runs and has event {int}', function (this: ManagerWorld, event: number) {
  const progress = this.jobRegistry.get(JOB)!.openItems().get(this.items[0]!.id)!
  Object.assign(progress, { target: 'a', lastEventId: event, data: ['own'] })
})

Then('the items of the job have events {int} and {int}', function (this: ManagerWorld, first: number, second: number) {
  const progress = [...this.jobRegistry.get(JOB)!.openItems().values()]
  assert.deepEqual(progress.map(({ lastEventId }) => lastEventId), [first, second])
  this.manager.close()
})

When('the caller\'s repeat of the job is accepted', function (this: ManagerWorld) {
  this.manager.openJob(JOB, this.stored, this.items)
})

When('the first item of the job is finished', async function (this: ManagerWorld) {
  finishItem(this, this.items[0]!)
  await settle()
})

When('the store updates the record', async function (this: ManagerWorld) {
  this.updateRecord()
  assert.equal(await this.takeover, true)
})

When('the other items of the job are finished', async function (this: ManagerWorld) {
  const open = [...this.jobRegistry.get(JOB)!.openItems().keys()]
  for (const item of this.items.filter(({ id }) => open.includes(id))) finishItem(this, item)
  await settle()
})

function finishItem ({ manager, jobRegistry }: ManagerWorld, { id }: JobItem): void {
  const job = jobRegistry.get(JOB)!
  job.finishItem({ item: id, completed: true, text: id })
  manager.scheduleStore(job)
}

When('{int} s pass for the job manager', async function (this: ManagerWorld, seconds: number) {
  for (let second = 0; second < seconds; second++) {
    await this.clock.advance(1000)
    await settle()
  }
})

Then('the store has the results of all {int} items, each once', function (this: ManagerWorld, count: number) {
  const results = this.segments.flatMap((segment) => segment.results)
  assert.equal(results.length, count)
  assert.equal(new Set(results.map(({ item }) => item)).size, count)
  this.manager.close()
})

When('a peer hands the job over with event {int} of both items, only the second with its version, and {int} failure each', async function (
  this: ManagerWorld, event: number, failures: number
) {
  const transport = createRouterTransport(createJobService({
    jobRegistry: this.jobRegistry, jobManager: this.manager, jobApi: {} as unknown as JobApi
  }))
  this.updateRecord()
  const { taken } = await createClient(JobService, transport).handOver({
    job: JOB,
    epoch: 1,
    progress: this.items.map(({ id }, index) => (
      { item: id, lastEvent: event, text: 'text', failures, version: index === 0 ? '' : 'v2', service: 's' }
    ))
  })
  assert.equal(taken, true)
})

Then('the items of the job have no event and event {int}, and {int} failure each', function (
  this: ManagerWorld, event: number, failures: number
) {
  const [first, second] = [...this.jobRegistry.get(JOB)!.openItems().values()]
  assert.deepEqual([first!.lastEventId, first!.data, first!.failures], [undefined, [], failures])
  assert.deepEqual([second!.lastEventId, second!.version, second!.service], [event, 'v2', 's'])
  assert.equal(second!.failures, failures)
  this.manager.close()
})

When('a peer tells that the job was ended at epoch {int}', function (this: ManagerWorld, epoch: number) {
  this.jobRegistry.update(JOB, { owner: SELF, epoch, ended: true, isAccepted: true }, 'peer')
})

When('a peer tells that it owns the job at epoch {int}', function (this: ManagerWorld, epoch: number) {
  this.jobRegistry.update(JOB, { owner: 'instance-2', epoch, ended: false, isAccepted: true }, 'peer')
})

Then('the job has ended, and its runs were stopped', function (this: ManagerWorld) {
  assert.equal(this.jobRegistry.get(JOB)!.isEnded(), true)
  assert.deepEqual(this.stopped.at(-1), JOB)
  this.manager.close()
})

Then('the job is not owned', function (this: ManagerWorld) {
  assert.equal(this.jobRegistry.get(JOB), undefined)
  this.manager.close()
})

function createResult ({ id }: JobItem): ResultSegment['results'][number] {
  return { item: id, completed: true, text: 'of the other owner' }
}

When('the job is taken over while the former owner still stores the result of its first item', async function (this: ManagerWorld) {
  this.beforeWrite = () => {
    this.beforeWrite = undefined
    this.segments[0] = { results: [createResult(this.items[0]!)], epoch: 1 }
  }
  this.updateRecord()
  assert.equal(await this.manager.takeOver(JOB), true)
})

Then('the first result of the job is that of the former owner, and {int} items are open', function (this: ManagerWorld, open: number) {
  const job = this.jobRegistry.get(JOB)!
  assert.deepEqual(job.storedResults().map(({ text }) => text), ['of the other owner'])
  assert.equal(job.openItems().size, open)
})

Then('the former owner finds the next place taken by epoch {int}', function (this: ManagerWorld, epoch: number) {
  assert.deepEqual(this.segments.at(-1), { results: [], epoch })
  this.manager.close()
})

When('an instance that is not heard takes the job over and stores the result of its first item', function (this: ManagerWorld) {
  this.stored = { ...this.stored, record: { ...this.stored.record, owner: 'instance-2', epoch: 2 }, revision: 9 }
  this.segments.push({ results: [], epoch: 2 }, { results: [createResult(this.items[0]!)], epoch: 2 })
})

When('the second item of the job is finished', async function (this: ManagerWorld) {
  finishItem(this, this.items[1]!)
  await settle()
})

Then('the store has {int} results, all of the successor', function (this: ManagerWorld, count: number) {
  const results = this.segments.flatMap((segment) => segment.results)
  assert.equal(results.length, count)
  assert.ok(results.every(({ text }) => text === 'of the other owner'))
})

When('that instance is gone, and its jobs are taken over here', async function (this: ManagerWorld) {
  this.updateRecord()
  await this.manager.takeOverFrom('instance-2')
})

When('the job is taken over while the platform does not answer {int} writes of results', async function (
  this: ManagerWorld, count: number
) {
  this.unansweredWrites = count
  this.updateRecord()
  const taken = this.manager.takeOver(JOB)
  for (let second = 0; second < count; second++) await this.clock.advance(1000)
  assert.equal(await taken, true)
})

Then('the store has {int} segment(s)', function (this: ManagerWorld, count: number) {
  assert.equal(this.segments.length, count)
})

When('the job is taken over while the platform does not answer {int} reads of results', async function (
  this: ManagerWorld, count: number
) {
  this.unansweredReads = count
  this.updateRecord()
  const taken = this.manager.takeOver(JOB)
  for (let second = 0; second < count; second++) await this.clock.advance(1000)
  assert.equal(await taken, true)
})

When('the takeover of the job gets no answers to its writes of results', async function (this: ManagerWorld) {
  this.unansweredWrites = Infinity
  this.updateRecord()
  this.takeover = this.manager.takeOver(JOB)
  for (let second = 0; second < 5; second++) {
    await this.clock.advance(1000)
    await settle()
  }
})

When('the instance of the job manager stops', function (this: ManagerWorld) {
  this.isLeaving = true
})

Then('the job was not taken over', async function (this: ManagerWorld) {
  const open = new Promise<string>((resolve) => setImmediate(resolve, 'open'))
  assert.equal(await Promise.race([this.takeover, open]), false)
  assert.equal(this.jobRegistry.get(JOB), undefined)
  this.manager.close()
})

When('the record of the job is deleted', function (this: ManagerWorld) {
  this.isDeleted = true
})

When('the platform does not answer writes of results', function (this: ManagerWorld) {
  this.unansweredWrites = Infinity
})

Then('the results of the job are in doubt at any time of the next {int} s', async function (this: ManagerWorld, seconds: number) {
  const job = this.jobRegistry.get(JOB)!
  for (let step = 0; step < seconds * 10; step++) {
    await this.clock.advance(100)
    await settle()
    assert.equal(this.manager.hasResultsInDoubt(job), true, `not in doubt after ${step * 100} ms`)
  }
})

When('the platform answers writes of results, and the first item of the job is finished before the next one', function (
  this: ManagerWorld
) {
  this.unansweredWrites = 0
  this.beforeWrite = () => {
    this.beforeWrite = undefined
    finishItem(this, this.items[0]!)
  }
})

When('the store has got the second item\'s result', async function (this: ManagerWorld) {
  while (this.jobRegistry.get(JOB)!.storedResults().length === 0) {
    await this.clock.advance(100)
    await settle()
  }
})

Then('the results of the job are not in doubt {int} ms later', async function (this: ManagerWorld, ms: number) {
  await this.clock.advance(ms)
  await settle()
  assert.equal(this.manager.hasResultsInDoubt(this.jobRegistry.get(JOB)!), false)
  this.manager.close()
})
