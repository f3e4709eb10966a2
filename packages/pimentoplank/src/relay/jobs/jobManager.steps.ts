import assert from 'node:assert/strict'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { ok, ResultAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog } from '../../shared'
import { RELAY_RULES } from '../rules'
import { createJobManager, createJobRegistry, type JobManager, type JobRegistry } from '.'
import type { JobStore, StoredJob } from './jobStore'
import type { ItemResult, JobItem } from './records'

interface ManagerWorld {
  clock: ManualClock
  manager: JobManager
  jobRegistry: JobRegistry
  stored: StoredJob
  items: JobItem[]
  results: ItemResult[]
  updateRecord: () => void
  takeover: Promise<boolean>
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

Given('a job manager whose store holds a job of {int} items with this instance as its owner', function (this: ManagerWorld, count: number) {
  this.clock = createManualClock()
  this.results = []
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
  this.stored = { record, revision: 1 }
  const canUpdate = new Promise<void>((resolve) => { this.updateRecord = resolve })
  const store: Partial<JobStore> = {
    read: () => resolved(this.stored),
    readItems: () => resolved(this.items),
    readSegment: () => resolved(undefined),
    update: (_job, next, revision) => new ResultAsync(canUpdate.then(() => {
      this.stored = { record: next, revision: revision + 1 }
      return ok(this.stored)
    })),
    writeSegment: (_job, _index, results) => {
      this.results.push(...results)
      return resolved([...results])
    }
  }
  this.jobRegistry = createJobRegistry({ self: SELF, noticeMs: 0, onNotice: () => undefined, clock: this.clock })
  this.manager = createJobManager({
    self: SELF,
    jobRegistry: this.jobRegistry,
    store: store as JobStore,
    table: () => undefined,
    peers: () => [],
    isLeaving: () => false,
    onItemsReady: () => undefined,
    onStop: () => undefined,
    rules: { ...RELAY_RULES.jobs, keepMs: 60_000 },
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
  assert.equal(this.results.length, count)
  assert.equal(new Set(this.results.map(({ item }) => item)).size, count)
  this.manager.close()
})
