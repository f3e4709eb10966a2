import assert from 'node:assert/strict'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { err, ok, ResultAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, PlatformUnavailable, type PlatformError } from '../../shared'
import { createSeededRandom } from '../decisions/testing/seededRandom'
import {
  createJobRegistry, createOwnedJob, createRecordFollower, type JobRegistry, type OwnedJob, type RecordFollower
} from '.'
import type { RecordChanges, StoredJob } from './jobStore'
import type { JobRecord } from './records'

/** A store that holds records only, and answers late or not at all. */
interface FakeStore {
  records: Map<string, StoredJob>
  /** Revision of the last change of each record, deletions included. */
  changedAt: Map<string, number>
  revision: number
  hasHistory: boolean
  reads: number
  /** True while every read fails at once. */
  isRefusing: boolean
  /** Time until the next answer, in milliseconds; undefined for an answer that does not come. */
  getAnswerMs: () => number | undefined
}

interface Owner {
  clock: ManualClock
  store: FakeStore
  jobRegistry: JobRegistry
  follower: RecordFollower
  jobs: OwnedJob[]
}

interface FollowerWorld {
  owner: Owner
  readsBefore: number
}

const SELF = 'instance-1'
const TICK_MS = 100
const TURNS = 5
/** Time after which the connection of a read without an answer breaks. */
const LOST_MS = 1000
const LONGEST_AGE_MS = 1800
/** Time within which a random run ends its job, in milliseconds, and time for which it is watched after that. */
const END_WITHIN_MS = 6000
const WATCHED_MS = 8000

function change (store: FakeStore, id: string, changes: Partial<JobRecord> | undefined): void {
  store.revision += 1
  store.changedAt.set(id, store.revision)
  const before = store.records.get(id)!
  if (changes === undefined) store.records.delete(id)
  else store.records.set(id, { ...before, record: { ...before.record, ...changes }, revision: store.revision })
}

function createOwner (count: number, maxAgeMs: number): Owner {
  const clock = createManualClock()
  const store: FakeStore = {
    records: new Map(),
    changedAt: new Map(),
    revision: 1,
    hasHistory: true,
    reads: 0,
    isRefusing: false,
    getAnswerMs: () => 1
  }

  async function readChanges (since: number, timeoutMs: number): Promise<RecordChanges | PlatformError> {
    store.reads += 1
    if (store.isRefusing) return new PlatformUnavailable('refused')
    const asOf = clock.now()
    const answerMs = store.getAnswerMs()
    // The answer reflects the store at a time between question and answer.
    const atMs = (answerMs ?? 0) / 2
    await clock.sleep(Math.min(atMs, timeoutMs))
    const isComplete = !store.hasHistory
    const changed = [...store.changedAt].filter(([, revision]) => isComplete || revision > since).map(([id]) => id)
    const found = changed.map((id): [string, StoredJob | undefined] => {
      const stored = store.records.get(id)
      return [id, stored === undefined ? undefined : { ...stored, asOf }]
    })
    const { revision } = store
    await clock.sleep(answerMs === undefined ? LOST_MS : Math.min(answerMs, timeoutMs) - Math.min(atMs, timeoutMs))
    if (answerMs === undefined || answerMs > timeoutMs) return new PlatformUnavailable('no answer')
    const records = new Map(found.filter(([, stored]) => !isComplete || stored !== undefined))
    return { revision, asOf, isComplete, records }
  }

  const log = createSilentLog()
  const jobRegistry = createJobRegistry({ self: SELF, noticeMs: 0, onNotice: () => undefined, clock, log })
  jobRegistry.onRevoked((job, { ended, owner }) => {
    if (ended) job.markEnded()
    if (owner !== SELF) jobRegistry.remove(job.id)
  })
  const jobs = Array.from({ length: count }, (_, index) => {
    const record = {
      route: 'batch',
      host: 'h',
      owner: SELF,
      epoch: 1,
      submittedAt: 0,
      total: 1,
      inputParts: 1,
      tokens: 1,
      ended: false,
      finished: false
    }
    const id = `job-${index}`
    store.records.set(id, { record, revision: 0, asOf: 0 })
    change(store, id, {})
    const stored = { record, revision: store.revision, asOf: clock.now() }
    const items = [{ id: 'item', path: '/x', headers: [], body: '', tokens: 1 }]
    return createOwnedJob({
      id, stored, items, getTimes: () => ({ dueAt: Infinity, expiresAt: Infinity }), now: () => clock.now()
    })
  })
  jobs.forEach(jobRegistry.add)
  const follower = createRecordFollower({
    self: SELF,
    jobRegistry,
    store: {
      readChanges: (since, timeoutMs) => new ResultAsync(
        readChanges(since, timeoutMs).then((read) => read instanceof Error ? err(read) : ok(read))
      )
    },
    rules: { maxAgeMs, maxUnansweredAgeMs: 2700, maxReadAgeMs: 800 },
    clock,
    metrics: createInMemoryMetrics(),
    log
  })
  return { clock, store, jobRegistry, follower, jobs }
}

/** Lets time pass in steps; `onStep` sees each moment at which items could start. */
async function pass ({ clock, follower }: Owner, ms: number, onStep: () => void = () => undefined): Promise<void> {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    follower.tick()
    for (let turn = 0; turn < TURNS; turn++) await nextTurn()
    await clock.advance(TICK_MS)
    for (let turn = 0; turn < TURNS; turn++) await nextTurn()
    onStep()
  }
}

Given('an owner of {int} jobs whose items may start up to {int} ms after the record was current', function (
  this: FollowerWorld, count: number, maxAgeMs: number
) {
  this.owner = createOwner(count, maxAgeMs)
})

When('the platform answers no reads', function (this: FollowerWorld) {
  this.owner.store.getAnswerMs = () => undefined
})

When('the platform answers after {int} ms', function (this: FollowerWorld, ms: number) {
  this.owner.store.getAnswerMs = () => ms
})

When('{int} ms pass for the owner', async function (this: FollowerWorld, ms: number) {
  await pass(this.owner, ms)
})

When('the record of the first job is ended by an instance that the owner does not hear', function (this: FollowerWorld) {
  change(this.owner.store, 'job-0', { ended: true })
})

When('the record of the first job names another owner', function (this: FollowerWorld) {
  change(this.owner.store, 'job-0', { owner: 'instance-2', epoch: 2 })
})

When('the record of the first job is deleted and the platform discards its history', function (this: FollowerWorld) {
  change(this.owner.store, 'job-0', undefined)
  this.owner.store.hasHistory = false
})

When('the machine is suspended for {int} s', function (this: FollowerWorld, seconds: number) {
  this.owner.clock.shiftWallTime(seconds * 1000)
})

When('all jobs are ended', async function (this: FollowerWorld) {
  this.owner.jobs.forEach(({ id }) => change(this.owner.store, id, { ended: true }))
  await pass(this.owner, 1200)
  this.readsBefore = this.owner.store.reads
})

Then('items of {int} job(s) may start', function (this: FollowerWorld, count: number) {
  const { jobs, follower } = this.owner
  assert.equal(jobs.filter((job) => follower.mayStart(job)).length, count)
})

Then('the first job has ended at the owner', function (this: FollowerWorld) {
  assert.equal(this.owner.jobs[0]!.isEnded(), true)
})

Then('the owner has {int} job(s)', function (this: FollowerWorld, count: number) {
  assert.equal([...this.owner.jobRegistry.owned()].length, count)
})

Then('the platform got {int} to {int} reads', function (this: FollowerWorld, least: number, most: number) {
  const { reads } = this.owner.store
  assert.ok(reads >= least && reads <= most, `${reads} reads`)
})

Then('the platform got {int} to {int} reads since', function (this: FollowerWorld, least: number, most: number) {
  const reads = this.owner.store.reads - this.readsBefore
  assert.ok(reads >= least && reads <= most, `${reads} reads`)
})

Then('with answers that take {int} to {int} ms and are lost in {int} of 100 cases, no owner of {int} random runs starts an item later than {int} ms after the end', { timeout: 60_000 }, async function (
  least: number, most: number, lost: number, runs: number, maxMs: number
) {
  for (let seed = 1; seed <= runs; seed++) {
    const random = createSeededRandom(seed)
    const owner = createOwner(1, LONGEST_AGE_MS)
    owner.store.getAnswerMs = () => random() * 100 < lost ? undefined : least + random() * (most - least)
    const [job] = owner.jobs
    await pass(owner, random() * END_WITHIN_MS)
    change(owner.store, job!.id, { ended: true })
    const endedAt = owner.clock.now()
    let lastStart = -Infinity
    await pass(owner, WATCHED_MS, () => {
      if (owner.follower.mayStart(job!)) lastStart = owner.clock.now()
    })
    assert.ok(lastStart - endedAt <= maxMs, `seed ${seed}: an item could start ${lastStart - endedAt} ms after the end`)
  }
})

When('the first job is not opened yet, and its record is ended by an instance that the owner does not hear', function (
  this: FollowerWorld
) {
  const { jobRegistry, store, jobs } = this.owner
  jobRegistry.remove(jobs[0]!.id)
  change(store, 'job-0', { ended: true })
  // The other job is stored after that.
  change(store, 'job-1', {})
  jobs[1]!.setStored({ ...store.records.get('job-1')!, asOf: this.owner.clock.now() })
})

When('the first job is opened with its record of the beginning', function (this: FollowerWorld) {
  this.owner.jobRegistry.add(this.owner.jobs[0]!)
})

When('another instance writes the record of a job', function (this: FollowerWorld) {
  const { store } = this.owner
  store.records.set('other', store.records.get('job-0')!)
  change(store, 'other', { owner: 'instance-2' })
})

When('the record of that job is deleted', function (this: FollowerWorld) {
  change(this.owner.store, 'other', undefined)
})

Then('the owner knows the state of that job, but not that it was accepted', function (this: FollowerWorld) {
  assert.equal(this.owner.jobRegistry.getKnown('other')?.owner, 'instance-2')
  assert.equal(this.owner.jobRegistry.isAccepted('other'), false)
})

Then('the owner does not know that job', function (this: FollowerWorld) {
  assert.equal(this.owner.jobRegistry.getKnown('other'), undefined)
})

When('the first job is not opened yet, and another one is stored after it', function (this: FollowerWorld) {
  const { jobRegistry, store, jobs, clock } = this.owner
  jobRegistry.remove(jobs[0]!.id)
  change(store, 'job-1', {})
  jobs[1]!.setStored({ ...store.records.get('job-1')!, asOf: clock.now() })
})

When('the first job is opened with its record of the beginning while a read is under way', async function (
  this: FollowerWorld
) {
  const { store, jobRegistry, jobs } = this.owner
  const { reads } = store
  while (store.reads === reads) await pass(this.owner, TICK_MS)
  jobRegistry.add(jobs[0]!)
})

Then('no item of the first job may start within {int} ms', async function (this: FollowerWorld, ms: number) {
  const { follower, jobs } = this.owner
  await pass(this.owner, ms, () => assert.equal(follower.mayStart(jobs[0]!), false))
})

Then('items of the first job may start at some time within {int} ms', async function (this: FollowerWorld, ms: number) {
  const { follower, jobs } = this.owner
  let starts = 0
  await pass(this.owner, ms, () => { if (follower.mayStart(jobs[0]!)) starts += 1 })
  assert.ok(starts > 0, 'no item could start')
})

When('the platform refuses reads', function (this: FollowerWorld) {
  this.owner.store.isRefusing = true
})

When('{int} ms pass for the owner, whose results are read all the time', async function (this: FollowerWorld, ms: number) {
  await pass(this.owner, ms, () => { this.owner.follower.refresh().catch(assert.fail) })
})

When('a peer tells the owner of that job', function (this: FollowerWorld) {
  this.owner.jobRegistry.update('other', { owner: 'instance-2', epoch: 1, ended: false, isAccepted: true }, 'peer')
})

When('the record of that job names a third instance', function (this: FollowerWorld) {
  change(this.owner.store, 'other', { owner: 'instance-3', epoch: 2 })
})

Then('the owner knows that the job was accepted', function (this: FollowerWorld) {
  assert.equal(this.owner.jobRegistry.isAccepted('other'), true)
})
