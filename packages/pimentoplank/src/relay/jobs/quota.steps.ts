import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import {
  createInMemoryMetrics, createSilentLog, PlatformConflict, PlatformUnavailable,
  type PeerTransports, type PlatformClient, type PlatformError, type RefusalError, type StoredObject
} from '../../shared'
import { createSeededRandom } from '../decisions/testing/seededRandom'
import type { PeerView } from '../gossip'
import { encodeReport } from '../gossip/datagrams'
import type { Route } from '../model'
import { RELAY_RULES } from '../rules'
import {
  createJobApi, createJobInputs, createJobManager, createJobRegistry, createJobStore, createQuota,
  createOwnedJob, createRecordView, getOpenTokens,
  type JobApi, type JobItem, type JobManager, type JobRegistry
} from '.'
import type { RecordView } from './recordView'

interface FakePlatform {
  client: PlatformClient
  objects: Map<string, StoredObject>
  reads: number
  hasHistory: boolean
  /** Time until the next answer, in milliseconds. */
  getAnswerMs: () => number
  isLost: () => boolean
}

interface Instance {
  id: string
  registry: JobRegistry
  manager: JobManager
  api: JobApi
}

interface QuotaWorld {
  owner: JobRegistry
  clock: ManualClock
  fakePlatform: FakePlatform
  view: RecordView
  readsBefore: number
  answered: Array<Result<void, PlatformError>>
  instances: Instance[]
  submission: Result<void, RefusalError>
  reaching: Promise<Result<void, PlatformError>>
}

type Random = () => number

const LIMIT = 1000
const TOKENS_OF_ITEM = 10
const MOST_ITEMS = 20
const INSTANCES = 4
/** Calls of the platform that take longer fail, in milliseconds. */
const CALL_TIMEOUT_MS = 1000
const TICK_MS = 20
/** Time for which jobs are submitted, and for which the run goes on after that, in milliseconds. */
const SUBMITTED_MS = 8000
const SETTLED_MS = 14_000
/** Longest time between two submissions, and pause before a repeat, in milliseconds. */
const SUBMISSION_GAP_MS = 120
const REPEAT_MS = 400
const REPEATS = 3

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
  batch: { completionTargetMs: 60_000, retentionMs: 60_000, maxWaitingTokens: LIMIT }
}

/** A platform whose calls take effect at some time before they are answered, or are answered by nobody. */
function createFakePlatform (clock: ManualClock): FakePlatform {
  const objects = new Map<string, StoredObject>()
  const changes: Array<{ kind: string, name: string, revision: number, object?: StoredObject }> = []
  let revision = 1

  async function call<Value> (
    isWrite: boolean,
    timeoutMs: number,
    run: () => Result<Value, PlatformError>
  ): Promise<Result<Value, PlatformError>> {
    const answerMs = fake.getAnswerMs()
    const isLost = fake.isLost() || answerMs > timeoutMs
    const effectMs = answerMs / 2
    // A call that is given up may take effect later.
    const done = clock.sleep(effectMs).then(run)
    if (isLost) {
      await clock.sleep(timeoutMs)
      return err(new PlatformUnavailable('no answer', { maybeApplied: isWrite }))
    }
    const result = await done
    await clock.sleep(answerMs - effectMs)
    return result
  }

  function store (kind: string, name: string, value: unknown): StoredObject {
    const object = { kind, name, revision: ++revision, writeId: '', value }
    objects.set(`${kind}/${name}`, object)
    changes.push({ kind, name, revision, object })
    return object
  }

  const client: Partial<PlatformClient> = {
    isAvailable: () => true,
    get: (kind, name) => new ResultAsync(call(false, CALL_TIMEOUT_MS, () => ok(objects.get(`${kind}/${name}`) ?? null))),
    listAll: (kind) => new ResultAsync(call(false, CALL_TIMEOUT_MS, () => {
      fake.reads += 1
      return ok({ revision, items: [...objects.values()].filter((object) => object.kind === kind) })
    })),
    put: (kind, name, value, { ifRevision }) => new ResultAsync(call(true, CALL_TIMEOUT_MS, () => {
      const current = objects.get(`${kind}/${name}`)
      if ((current?.revision ?? 0) !== ifRevision) return err(new PlatformConflict(current ?? null, false))
      return ok(store(kind, name, value))
    })),
    remove: (kind, name, { ifRevision } = {}) => new ResultAsync(call(true, CALL_TIMEOUT_MS, () => {
      const current = objects.get(`${kind}/${name}`)
      if (current === undefined) return ok(undefined)
      if (ifRevision !== undefined && current.revision !== ifRevision) return err(new PlatformConflict(current, false))
      objects.delete(`${kind}/${name}`)
      changes.push({ kind, name, revision: ++revision })
      return ok(undefined)
    })),
    watch: (kind, { since, waitMs, marginMs = 0 }) => new ResultAsync(call(false, waitMs + marginMs, () => {
      fake.reads += 1
      if (!fake.hasHistory) return ok({ revision: 0, events: [], compacted: true })
      const events = changes.filter((change) => change.kind === kind && change.revision > since)
        .map(({ name, revision: at, object }) => object === undefined
          ? { type: 'remove' as const, name, revision: at }
          : { type: 'put' as const, name, revision: at, object })
      return ok({ revision, events })
    }))
  }
  const fake: FakePlatform = {
    client: client as PlatformClient, objects, reads: 0, hasHistory: true, getAnswerMs: () => 1, isLost: () => false
  }
  return fake
}

function createInstance (
  id: string, clock: ManualClock, platform: FakePlatform, random: Random, peers: () => readonly PeerView[]
): Instance {
  const log = createSilentLog()
  const metrics = createInMemoryMetrics()
  const store = createJobStore(platform.client, clock)
  const registry = createJobRegistry({ self: id, noticeMs: 0, onNotice: () => undefined, clock, log })
  const common = { self: id, jobRegistry: registry, store, peers, isLeaving: () => false, clock, random, metrics, log }
  const manager = createJobManager({
    ...common,
    table: () => undefined,
    onItemsReady: () => undefined,
    onStop: () => undefined,
    rules: { ...RELAY_RULES.jobs, keepMs: 60_000, maxObjectBytes: 1_048_576 }
  })
  const api = createJobApi({
    ...common,
    jobManager: manager,
    inputs: createJobInputs({ store, log }),
    transports: {} as unknown as PeerTransports,
    quota: createQuota({ jobRegistry: registry, recordView: createRecordView({ store, clock, metrics }), peers, log }),
    recordFollower: { mayDenyResults: () => true, refresh: async () => true },
    onAccepted: () => undefined,
    maxObjectBytes: 1_048_576
  })
  return { id, registry, manager, api }
}

function createItems (job: string, count: number): JobItem[] {
  return Array.from({ length: count }, (_, index) => (
    { id: `${job}-${index}`, path: '/x', headers: [], body: '', tokens: TOKENS_OF_ITEM }
  ))
}

function toPeer ({ id, registry }: Instance): PeerView {
  return { report: { instance: id, openJobs: getOpenTokens(registry) }, lastReceivedAt: 0 } as unknown as PeerView
}

/** Submits jobs and repeats at instances at random; returns the most tokens that waited at an acceptance. */
async function playRun (seed: number, { least, most, lost, isHearing }: {
  least: number, most: number, lost: number, isHearing: boolean
}): Promise<number> {
  const random = createSeededRandom(seed)
  const clock = createManualClock()
  const platform = createFakePlatform(clock)
  platform.getAnswerMs = () => least + random() * (most - least)
  platform.isLost = () => random() * 100 < lost
  /** What each instance has heard last of others, which may be old. */
  const heard = new Map<string, PeerView[]>()
  const instances: Instance[] = []
  for (let index = 0; index < INSTANCES; index++) {
    const id = `instance-${index}`
    instances.push(createInstance(id, clock, platform, random, () => heard.get(id) ?? []))
  }
  const accepted = new Map<string, number>()
  const refused = new Set<string>()
  const done = new Set<string>()
  let mostWaiting = 0

  function countWaiting (): number {
    let sum = 0
    for (const [job, items] of accepted) {
      for (const { id } of createItems(job, items)) if (!done.has(id)) sum += TOKENS_OF_ITEM
    }
    return sum
  }

  async function submit (job: string, count: number): Promise<void> {
    let isPromisedNotToRun = true
    for (let attempt = 0; attempt < REPEATS; attempt++) {
      const instance = instances[Math.floor(random() * INSTANCES)]!
      const answer = await instance.api.submit({ id: job, host: 'h', route: ROUTE, items: createItems(job, count) })
      if (answer.isOk()) {
        accepted.set(job, count)
        mostWaiting = Math.max(mostWaiting, countWaiting())
        assert.ok(mostWaiting <= LIMIT, `seed ${seed}: ${mostWaiting} tokens wait once ${job} is accepted`)
        return
      }
      isPromisedNotToRun &&= answer.error.outcome !== 'unknown'
      await clock.sleep(random() * REPEAT_MS)
    }
    if (isPromisedNotToRun) refused.add(job)
  }

  /** Finishes an item of a job at random. */
  function finishItem (): void {
    const owner = instances[Math.floor(random() * INSTANCES)]!
    const jobs = [...owner.registry.owned()].filter((job) => job.openItems().size > 0)
    const job = jobs[Math.floor(random() * jobs.length)]
    const item = job === undefined ? undefined : [...job.openItems().keys()][0]
    if (job === undefined || item === undefined) return
    job.finishItem({ item, completed: true, text: '' })
    done.add(item)
    owner.manager.scheduleStore(job)
  }

  const submissions: Array<Promise<void>> = []
  let nextAt = 0
  for (let now = 0; now < SUBMITTED_MS + SETTLED_MS; now += TICK_MS) {
    if (now >= nextAt && now < SUBMITTED_MS) {
      nextAt = now + random() * SUBMISSION_GAP_MS
      submissions.push(submit(`job${submissions.length}`, 1 + Math.floor(random() * MOST_ITEMS)))
    }
    if (random() < 0.3) finishItem()
    const listener = instances[Math.floor(random() * INSTANCES)]!
    const told = instances.filter((one) => one !== listener && random() < 0.5).map(toPeer)
    if (isHearing && random() < 0.1) heard.set(listener.id, told)
    await clock.advance(TICK_MS)
  }
  await Promise.all(submissions)
  for (const job of accepted.keys()) assert.ok(platform.objects.has(`jobs/${job}`), `seed ${seed}: ${job} is accepted and lost`)
  for (const { registry } of instances) {
    for (const { id } of registry.owned()) assert.ok(!refused.has(id), `seed ${seed}: ${id} was refused and runs`)
  }
  instances.forEach(({ manager }) => manager.close())
  return mostWaiting
}

Then('with answers that take {int} to {int} ms and are lost in {int} of 100 cases, 4 instances that hear {} accept at least {int} and at most 1000 tokens in {int} random runs', { timeout: 120_000 }, async function (
  least: number, most: number, lost: number, heard: string, tokens: number, runs: number
) {
  for (let seed = 1; seed <= runs; seed++) {
    const waiting = await playRun(seed, { least, most, lost, isHearing: heard !== 'nobody' })
    assert.ok(waiting >= tokens, `seed ${seed}: at most ${waiting} tokens were accepted`)
  }
})

Given('2 instances that hear nobody, and a platform that answers after {int} ms', function (this: QuotaWorld, ms: number) {
  this.clock = createManualClock()
  this.fakePlatform = createFakePlatform(this.clock)
  this.fakePlatform.getAnswerMs = () => ms
  this.instances = ['instance-0', 'instance-1'].map((id) =>
    createInstance(id, this.clock, this.fakePlatform, () => 0.5, () => []))
})

async function submitJob ({ api }: Instance, id: string, count: number): Promise<Result<void, RefusalError>> {
  return await api.submit({ id, host: 'h', route: ROUTE, items: createItems(id, count) })
}

When('a job of {int} items is accepted at the second instance, and then one of {int} items at the first', async function (
  this: QuotaWorld, small: number, large: number
) {
  for (const [number, id, count] of [[1, 'small', small], [0, 'large', large]] as const) {
    const submitting = submitJob(this.instances[number]!, id, count)
    for (let step = 0; step < 30; step++) await this.clock.advance(100)
    assert.ok((await submitting).isOk())
  }
})

When('one of {int} items is submitted at the second while the record of that of 90 items is changed to {}', async function (
  this: QuotaWorld, count: number, change: string
) {
  const submitting = submitJob(this.instances[1]!, 'last', count)
  // The record of the last job is stored after 50 ms, and counted as of 150 ms.
  await this.clock.advance(30)
  const { value, revision } = this.fakePlatform.objects.get('jobs/large')!
  const changed = { ...value as object, ...JSON.parse(change) }
  const changing = this.fakePlatform.client.put('jobs', 'large', changed, { ifRevision: revision })
  for (let step = 0; step < 30; step++) await this.clock.advance(100)
  assert.ok((await changing).isOk())
  this.submission = await submitting
})

Then('the last job is refused as not run, and its record is deleted', function (this: QuotaWorld) {
  assert.equal(this.submission.isErr() && this.submission.error.outcome, 'not_run')
  assert.equal(this.fakePlatform.objects.has('jobs/last'), false)
  this.instances.forEach(({ manager }) => manager.close())
})

Given('the records of {int} jobs, and a view of them that was read', async function (this: QuotaWorld, count: number) {
  this.clock = createManualClock()
  this.fakePlatform = createFakePlatform(this.clock)
  const store = createJobStore(this.fakePlatform.client, this.clock)
  for (let index = 0; index < count; index++) {
    const creating = store.create(`job${index}`, {
      route: 'batch',
      host: 'h',
      owner: 'instance-0',
      epoch: 1,
      submittedAt: 0,
      total: 1,
      inputParts: 1,
      tokens: 1,
      ended: false,
      finished: false
    }, createItems(`job${index}`, 1))
    await this.clock.advance(10)
    assert.ok((await creating).isOk())
  }
  this.view = createRecordView({ store, clock: this.clock, metrics: createInMemoryMetrics() })
  const reading = this.view.refresh()
  await this.clock.advance(100)
  assert.ok((await reading).isOk())
  this.readsBefore = this.fakePlatform.reads
})

When('{int} callers want the records as they are now', async function (this: QuotaWorld, count: number) {
  const reading = Array.from({ length: count }, async () => await this.view.refresh())
  await this.clock.advance(100)
  this.answered = await Promise.all(reading)
})

Then('all of them have the same records, with {int} read more', function (this: QuotaWorld, reads: number) {
  assert.ok(this.answered.every((answer) => answer.isOk()))
  assert.equal(this.fakePlatform.reads - this.readsBefore, reads)
})

When('the platform does not answer any more, and a caller wants the records up to a later change', function (this: QuotaWorld) {
  this.fakePlatform.isLost = () => true
  this.reaching = this.view.reach(1000)
})

Then('the call fails within {int} ms', async function (this: QuotaWorld, ms: number) {
  const startedAt = this.clock.now()
  let endedAt: number | undefined
  const failed = this.reaching.then((reached) => {
    endedAt = this.clock.now()
    assert.ok(reached.isErr())
  })
  for (let step = 0; step < 100; step++) await this.clock.advance(100)
  await failed
  assert.ok(endedAt !== undefined && endedAt - startedAt <= ms, `after ${endedAt} ms`)
})

async function changeJob (world: QuotaWorld, change: 'end' | 'delete'): Promise<void> {
  const { value, revision } = world.fakePlatform.objects.get('jobs/job0')!
  const changing = change === 'delete'
    ? world.fakePlatform.client.remove('jobs', 'job0')
    : world.fakePlatform.client.put('jobs', 'job0', { ...value as object, ended: true }, { ifRevision: revision })
  await world.clock.advance(10)
  assert.ok((await changing).isOk())
}

When('a read whose answer takes 900 ms has begun, and a job is ended before another one that takes 10 ms', async function (
  this: QuotaWorld
) {
  this.fakePlatform.getAnswerMs = () => 900
  const slow = this.view.refresh()
  // The slow answer holds the records of this time.
  await this.clock.advance(500)
  this.fakePlatform.getAnswerMs = () => 1
  await changeJob(this, 'end')
  this.fakePlatform.getAnswerMs = () => 10
  const fast = this.view.refresh()
  await this.clock.advance(20)
  this.answered = [await fast]
  assert.equal(this.view.getOpen().size, 2)
  await this.clock.advance(900)
  this.answered.push(await slow)
})

Then('the view has {int} open jobs at once, and when both are answered', function (this: QuotaWorld, count: number) {
  assert.ok(this.answered.every((answer) => answer.isOk()))
  assert.equal(this.view.getOpen().size, count)
})

When('the platform discards its history, and the record of a job is deleted', async function (this: QuotaWorld) {
  await changeJob(this, 'delete')
  this.fakePlatform.hasHistory = false
})

Then('the view has {int} open jobs once its records are read', async function (this: QuotaWorld, count: number) {
  const reading = this.view.refresh()
  await this.clock.advance(100)
  assert.ok((await reading).isOk())
  assert.equal(this.view.getOpen().size, count)
})

Given('an instance that owns {int} jobs of {int} items', function (this: QuotaWorld, count: number, items: number) {
  const clock = createManualClock()
  this.owner = createJobRegistry({ self: 'a', noticeMs: 0, onNotice: () => undefined, clock, log: createSilentLog() })
  for (let index = 0; index < count; index++) {
    const id = `job-${index}`
    const record = {
      route: 'batch',
      host: 'h',
      owner: 'a',
      epoch: 1,
      submittedAt: 0,
      total: items,
      inputParts: 1,
      tokens: items * TOKENS_OF_ITEM,
      ended: false,
      finished: false
    }
    this.owner.add(createOwnedJob({
      id,
      stored: { record, revision: 1, asOf: 0 },
      items: createItems(id, items),
      getTimes: () => ({ dueAt: Infinity, expiresAt: Infinity }),
      now: () => 0
    }))
  }
})

Then('its report has at most {int} bytes', function (this: QuotaWorld, most: number) {
  const report = createEmptyReport({
    instance: 'a', failureDomain: 'x', peerAddress: '', openJobs: getOpenTokens(this.owner)
  })
  const bytes = encodeReport(report, 0)
  assert.ok(bytes.length <= most, `${bytes.length} bytes`)
  assert.ok(report.openJobs.size > 0)
})
