import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createBatchFleet, type BatchFleet, type BatchFleetOptions, type UploadItem } from '../../features/support/batchFleet'
import type { FakeRun } from '../../features/support/fakeTargets'
import type { CallFault, MemoryCall } from '../../features/support/memoryPlatform'
import {
  OBJECT_KINDS, toUploadPrefix,
  type BatchResult, type CheckpointRecord, type JobRecord, type SegmentRecord
} from '../shared'
import { createChunkStore } from '../entry/batches/storeUpload'
import { runRandomFaults } from '../../features/support/randomFaults'

const SECOND = 1000
const MINUTE = 60 * SECOND
const LONG_STEP_TIMEOUT_MS = 60_000

interface FleetWorld {
  /** Number of runs that had started when a frozen runner thawed. */
  runsBeforeThaw: number
  fleet: BatchFleet
  batchJob: string
  /** Ids of the items whose results were committed before a runner failed. */
  committedIds: string[]
}

function createFleet (world: FleetWorld, names: string, options: BatchFleetOptions = {}): void {
  const ids = names === '' ? [] : names.split(', ')
  world.fleet = createBatchFleet({ ...options, listed: ids.map((id) => id.split('/')[0]!) })
  for (const id of ids) world.fleet.start(id)
}

async function uploadItems (
  world: FleetWorld,
  count: number,
  markers: Partial<Record<number, string>>,
  noRepeat = false
): Promise<void> {
  const items = Array.from({ length: count }, (_, index): UploadItem =>
    ({ content: `roster ${index} ${markers[index] ?? ''}`, noRepeat }))
  world.batchJob = await world.fleet.upload(items)
}

/** Returns the runs of an item; a resumed run continues an earlier one and is not counted. */
function getRuns (world: FleetWorld, index: number): FakeRun[] {
  return world.fleet.targets.runs.filter(({ content, isResumed }) =>
    content.includes(`roster ${index} `) && !isResumed)
}

function getRunsBy (world: FleetWorld, runner: string): FakeRun[] {
  return world.fleet.targets.runs.filter((run) => run.runner === runner)
}

function getCommittedIds (world: FleetWorld): string[] {
  const listed = new Set(world.fleet.platform.objects(OBJECT_KINDS.checkpoint)
    .flatMap(({ value }) => (value as CheckpointRecord).segments.map(({ name }) => name)))
  return world.fleet.platform.objects(OBJECT_KINDS.segment)
    .filter(({ name }) => listed.has(name))
    .flatMap(({ value }) => (value as SegmentRecord).results.map(({ id }) => id))
}

function hasActiveRun (world: FleetWorld, runner: string): boolean {
  return getRunsBy(world, runner).some(({ outcome, tokens }) => outcome === 'running' && tokens > 0)
}

async function getResultsById (world: FleetWorld): Promise<Map<string, BatchResult>> {
  const results = await world.fleet.results(world.batchJob)
  const byId = new Map(results.map((result) => [result.id, result]))
  assert.equal(byId.size, results.length, 'duplicate id in the results')
  return byId
}

function injectFault (world: FleetWorld, fault: CallFault, matches: (call: MemoryCall) => boolean): void {
  world.fleet.platform.faultOf = (call) => call.client !== 'entry' && matches(call) ? fault : undefined
}

async function stopRunner (world: FleetWorld, id: string, limitMs: number): Promise<void> {
  let isStopped = false
  const stopping = world.fleet.runners.get(id)!.runner.stop().then(() => { isStopped = true })
  await world.fleet.advanceUntil(() => isStopped, limitMs)
  await stopping
}

Given('a batch fleet with the runners {string}', function (this: FleetWorld, names: string) {
  createFleet(this, names, { settings: { commit: { everyMs: SECOND } } })
})

Given('a batch fleet with the runners {string} and {int} target(s)', function (
  this: FleetWorld, names: string, targets: number
) {
  createFleet(this, names, { targets: { targets }, settings: { commit: { everyMs: SECOND } } })
})

Given('a batch fleet with the runners {string} and targets of the software versions {string}', function (
  this: FleetWorld, names: string, versions: string
) {
  const list = versions.split(', ')
  createFleet(this, names, { targets: { targets: list.length }, settings: { commit: { everyMs: SECOND } } })
  for (const [index, record] of this.fleet.targets.records.entries()) record.softwareVersion = list[index]
})

When('batch target {int} is back at software version {word}', function (
  this: FleetWorld, index: number, version: string
) {
  this.fleet.targets.records[index]!.softwareVersion = version
})

Then('no batch item went on at another software version, and {int} or more went on', function (
  this: FleetWorld, count: number
) {
  const { runs } = this.fleet.targets
  const continued = runs.filter(({ resumedAt }) => resumedAt > 0)
  assert.ok(continued.length >= count, `${continued.length} runs continued`)
  for (const run of continued) {
    const earlier = runs.slice(0, runs.indexOf(run)).findLast(({ requestId }) => requestId === run.requestId)
    assert.equal(run.version, earlier?.version, `${run.requestId} on ${run.target}`)
  }
})

Then('batch item {int} was begun {int} times', function (this: FleetWorld, index: number, count: number) {
  const runs = this.fleet.targets.runs.filter(({ content }) => content.includes(`roster ${index} `))
  assert.equal(runs.filter(({ resumedAt }) => resumedAt === 0).length, count)
})

Given('a batch fleet with the runners {string}, scans each second and chunks of {int} items', function (
  this: FleetWorld, names: string, chunkItems: number
) {
  createFleet(this, names, { chunkItems, settings: { scan: { maxEveryMs: SECOND } } })
})

Given('a batch fleet with the runners {string} that hold 1 chunk of 1 item at a time', function (
  this: FleetWorld, names: string
) {
  createFleet(this, names, { chunkItems: 1, settings: { chunksHeld: 1, scan: { everyMs: 100, maxEveryMs: SECOND } } })
})

Given('a batch fleet without runners', function (this: FleetWorld) {
  createFleet(this, '')
})

Given('a batch fleet with the runners {string} that retains jobs for {int} minutes',
  function (this: FleetWorld, names: string, minutes: number) {
    createFleet(this, names, { settings: { collector: { retentionMs: minutes * MINUTE } } })
  })

Given('a batch fleet with the runners {string} that keeps running for {int} s without the platform',
  function (this: FleetWorld, names: string, seconds: number) {
    createFleet(this, names, { settings: { outage: { runMs: seconds * SECOND } } })
  })

Given('{int} runs of items with {string} crash their targets, which are back after {int} s',
  function (this: FleetWorld, count: number, marker: string, seconds: number) {
    Object.assign(this.fleet.targets, { crashMarker: marker, crashesLeft: count, restartMs: seconds * SECOND })
  })

Given('targets are silent for {int} s under items with {string}', function (
  this: FleetWorld, seconds: number, marker: string
) {
  Object.assign(this.fleet.targets, { silentMarker: marker, silenceMs: seconds * SECOND })
})

When('{int} batch items are uploaded', async function (this: FleetWorld, count: number) {
  await uploadItems(this, count, {})
})

When('{int} batch items are uploaded, of which item {int} contains {string}',
  async function (this: FleetWorld, count: number, index: number, marker: string) {
    await uploadItems(this, count, { [index]: marker })
  })

When('{int} at-most-once batch items are uploaded', async function (this: FleetWorld, count: number) {
  await uploadItems(this, count, {}, true)
})

When('{int} at-most-once batch items are uploaded, of which item {int} contains {string}',
  async function (this: FleetWorld, count: number, index: number, marker: string) {
    await uploadItems(this, count, { [index]: marker }, true)
  })

When('the batch runner {string} starts', function (this: FleetWorld, id: string) {
  this.fleet.start(id)
})

When('the batch runner {string} runs items', async function (this: FleetWorld, id: string) {
  await this.fleet.advanceUntil(() => hasActiveRun(this, id), 30 * SECOND)
})

When('the batch runner {string} has committed results and runs items', async function (this: FleetWorld, id: string) {
  const done = (): number => getRunsBy(this, id).filter(({ outcome }) => outcome === 'done').length
  await this.fleet.advanceUntil(
    () => getCommittedIds(this).length > 0 && done() > 0 && hasActiveRun(this, id), 30 * SECOND
  )
  this.committedIds = getCommittedIds(this)
})

When('batch items are running with some tokens', async function (this: FleetWorld) {
  const running = (): FakeRun[] => this.fleet.targets.runs.filter(({ outcome }) => outcome === 'running')
  await this.fleet.advanceUntil(() => running().length > 0 && running().every(({ tokens }) => tokens >= 2), 30 * SECOND)
})

When('every batch slot is revoked', async function (this: FleetWorld) {
  this.fleet.targets.revoke()
  await this.fleet.advance(100)
})

When('no more batch slots are granted', function (this: FleetWorld) {
  this.fleet.targets.revoke()
})

When('each batch slot takes {int} s to be granted', function (this: FleetWorld, seconds: number) {
  this.fleet.targets.grantAfterMs = seconds * SECOND
})

When('batch items are waiting for slots', async function (this: FleetWorld) {
  await this.fleet.advance(2 * SECOND)
})

Then('no batch run began after the job had ended', async function (this: FleetWorld) {
  await this.fleet.advance(10 * SECOND)
  assert.deepEqual(this.fleet.targets.runs.slice(this.runsBeforeThaw).map(({ requestId }) => requestId), [])
})

When('batch slots are granted again', function (this: FleetWorld) {
  this.fleet.targets.allow()
})

When('the batch runner {string} is killed', function (this: FleetWorld, id: string) {
  this.fleet.kill(id)
})

When('the batch runner {string} is killed before it can write the job', async function (this: FleetWorld, id: string) {
  injectFault(this, 'down', ({ operation, kind }) => operation === 'put' && kind === OBJECT_KINDS.job)
  const { chunks } = this.fleet.platform.objects(OBJECT_KINDS.job)[0]!.value as JobRecord
  const areComplete = (): boolean => this.fleet.platform.objects(OBJECT_KINDS.checkpoint)
    .filter(({ value }) => (value as CheckpointRecord).state === 'complete').length === chunks
  await this.fleet.advanceUntil(areComplete, 60 * SECOND)
  this.fleet.platform.faultOf = () => undefined
  this.fleet.kill(id)
})

When('the batch runner {string} freezes', function (this: FleetWorld, id: string) {
  this.fleet.runners.get(id)!.isFrozen = true
})

When('the batch runner {string} freezes, and when it thaws its slots arrive before its feed events', function (
  this: FleetWorld, id: string
) {
  Object.assign(this.fleet.runners.get(id)!, { isFrozen: true, isFeedCut: true })
})

When('the batch runner {string} thaws', async function (this: FleetWorld, id: string) {
  const entry = this.fleet.runners.get(id)!
  entry.isFrozen = false
  this.runsBeforeThaw = this.fleet.targets.runs.length
  await entry.clock.jump(MINUTE)
})

When('reads of checkpoints by the batch runner {string} take {int} ms', function (this: FleetWorld, id: string, ms: number) {
  const { clock } = this.fleet.runners.get(id)!
  this.fleet.platform.delayOf = ({ client, operation, kind }) =>
    client === id && operation === 'get' && kind === OBJECT_KINDS.checkpoint ? clock.sleep(ms) : undefined
})

When('the batch runner {string} is stopped', async function (this: FleetWorld, id: string) {
  await stopRunner(this, id, 15 * SECOND)
})

When('the streams of batch runner {string} stop responding', function (this: FleetWorld, id: string) {
  this.fleet.targets.silent.add(id)
})

When('the batch runner {string} is stopped and has exited within {int} s',
  async function (this: FleetWorld, id: string, seconds: number) {
    await stopRunner(this, id, seconds * SECOND)
  })

When('the batch job is cancelled', async function (this: FleetWorld) {
  assert.equal(await this.fleet.cancel(this.batchJob), 202)
  await this.fleet.advance(100)
})

When('the batch job will be cancelled during its first claim', function (this: FleetWorld) {
  let isCancelled = false
  this.fleet.platform.faultOf = (call) => {
    if (isCancelled || call.operation !== 'put' || call.kind !== OBJECT_KINDS.checkpoint) return undefined
    isCancelled = true
    this.fleet.runners.get('a')!.isFeedCut = true
    const { name, revision, value } = this.fleet.platform.objects(OBJECT_KINDS.job)[0]!
    const cancelling = { ...value as JobRecord, state: 'cancelling' }
    this.fleet.platform.client('entry').put(OBJECT_KINDS.job, name, cancelling, { ifRevision: revision })
    return undefined
  }
})

When('{int} s pass in the batch fleet', async function (this: FleetWorld, seconds: number) {
  await this.fleet.advance(seconds * SECOND)
})

When('{int} minutes pass in the batch fleet', { timeout: MINUTE }, async function (this: FleetWorld, minutes: number) {
  for (const { clock } of this.fleet.runners.values()) await clock.advance(minutes * MINUTE)
})

When('the platform is unavailable to the batch fleet', function (this: FleetWorld) {
  injectFault(this, 'down', () => true)
})

When('the batch runner {string} is cut off from the platform', function (this: FleetWorld, id: string) {
  injectFault(this, 'down', ({ client }) => client === id)
  this.fleet.runners.get(id)!.isFeedCut = true
})

When('the batch runner {string} receives no feed events', function (this: FleetWorld, id: string) {
  this.fleet.runners.get(id)!.isFeedCut = true
})

When('the batch runner {string} reaches jobs at the platform only, and receives no feed events', function (
  this: FleetWorld, id: string
) {
  injectFault(this, 'down', ({ client, kind }) => client === id && kind !== OBJECT_KINDS.job)
  this.fleet.runners.get(id)!.isFeedCut = true
})

When('a chunk of the batch job has been taken over', async function (this: FleetWorld) {
  const areTakenOver = (): boolean => this.fleet.platform.objects(OBJECT_KINDS.checkpoint)
    .some(({ value }) => (value as CheckpointRecord).epoch > 1)
  await this.fleet.advanceUntil(areTakenOver, 2 * MINUTE)
})

When('reads of jobs by the batch runner {string} are answered after {int} ms', function (
  this: FleetWorld, id: string, ms: number
) {
  const { clock } = this.fleet.runners.get(id)!
  this.fleet.platform.answerDelayOf = ({ client, operation, kind }) =>
    client === id && operation !== 'put' && kind === OBJECT_KINDS.job ? clock.sleep(ms) : undefined
})

When('only chunks after the first {int} claimed ones are open, and {string} reads later pages from before their claims',
  { timeout: LONG_STEP_TIMEOUT_MS }, async function (this: FleetWorld, pageSize: number, reader: string) {
    const { fleet } = this
    const isOpen = ({ value }: { value: unknown }): boolean => (value as CheckpointRecord).state === 'open'
    const list = (): ReturnType<typeof fleet.platform.objects> => fleet.platform.objects(OBJECT_KINDS.checkpoint)
    let before = fleet.platform.createSnapshot()
    await fleet.advanceUntil(() => {
      const claimed = list()
      if (claimed.length > pageSize + 1 && claimed.slice(0, pageSize).every((object) => !isOpen(object)) &&
        claimed.slice(pageSize).some(isOpen)) return true
      if (!claimed.slice(pageSize).some(isOpen)) before = fleet.platform.createSnapshot()
      return false
    }, 4 * MINUTE)
    fleet.platform.staleOf = ({ client, kind, after }) =>
      client === reader && kind === OBJECT_KINDS.checkpoint && (after ?? '') > list()[0]!.name ? before : undefined
  })

When('later pages of checkpoints are current again', function (this: FleetWorld) {
  this.fleet.platform.staleOf = () => undefined
})

Then('the batch job is still {string}', async function (this: FleetWorld, state: string) {
  assert.equal((await this.fleet.view(this.batchJob)).state, state)
})

When('the batch runner {string} begins to stop', function (this: FleetWorld, id: string) {
  this.fleet.runners.get(id)!.runner.stop()
})

When('the first claim of the batch runner {string} is written {int} s late', function (
  this: FleetWorld, id: string, seconds: number
) {
  const { clock } = this.fleet.runners.get(id)!
  let claims = 0
  this.fleet.platform.delayOf = ({ client, operation, kind }) =>
    client === id && operation === 'put' && kind === OBJECT_KINDS.checkpoint && claims++ === 0
      ? clock.sleep(seconds * SECOND)
      : undefined
})

When('the batch job is cancelled, the answer of the platform is lost, and it is cancelled again', async function (
  this: FleetWorld
) {
  this.fleet.platform.faultOf = ({ client, operation }) => client === 'entry' && operation === 'put' ? 'loseAnswer' : undefined
  assert.equal(await this.fleet.cancel(this.batchJob), 503)
  this.fleet.platform.faultOf = () => undefined
  assert.equal(await this.fleet.cancel(this.batchJob), 200)
})

When('the same {int} batch items are uploaded again', async function (this: FleetWorld, count: number) {
  const before = this.batchJob
  await uploadItems(this, count, {})
  assert.equal(this.batchJob, before)
})

When('the platform is available to the batch fleet again', function (this: FleetWorld) {
  this.fleet.platform.faultOf = () => undefined
  for (const entry of this.fleet.runners.values()) entry.isFeedCut = false
})

When('the batch fleet loses 2 of 3 responses to {word} of {string}',
  function (this: FleetWorld, operation: string, kind: string) {
    let calls = 0
    injectFault(this, 'loseAnswer', (call) => call.operation === operation && call.kind === kind && ++calls % 3 !== 0)
  })

When('the platform refuses {word} of {string} for the batch fleet',
  function (this: FleetWorld, operation: string, kind: string) {
    injectFault(this, 'down', (call) => call.operation === operation && call.kind === kind)
  })

When('the platform refuses put of {string} after the first for the batch fleet', function (this: FleetWorld, kind: string) {
  let calls = 0
  injectFault(this, 'down', (call) => call.operation === 'put' && call.kind === kind && ++calls > 1)
})

When('the batch runner {string} loses every response to its commits once it runs items',
  async function (this: FleetWorld, id: string) {
    await this.fleet.advanceUntil(() => hasActiveRun(this, id), 30 * SECOND)
    injectFault(this, 'loseAnswer', ({ client, operation, kind }) =>
      client === id && operation === 'put' && kind === OBJECT_KINDS.checkpoint)
  })

When('the batch runner {string} has written a commit and lost the response', async function (this: FleetWorld, _id: string) {
  await this.fleet.advanceUntil(() => getCommittedIds(this).length > 0, 30 * SECOND)
})

When('a batch upload is aborted after {int} chunks', async function (this: FleetWorld, chunks: number) {
  const client = this.fleet.platform.client('entry')
  const store = createChunkStore(client, { job: 'broken-job', uploadId: 'broken', startedAt: 0 })
  for (let chunk = 0; chunk < chunks; chunk++) await store.write([])
})

Then('the aborted batch upload has {int} objects left', function (this: FleetWorld, count: number) {
  const left = this.fleet.platform.objects(OBJECT_KINDS.chunk)
    .filter(({ name }) => name.startsWith(toUploadPrefix('broken-job', 'broken')))
  assert.equal(left.length, count)
})

Then('the platform stores no object of a batch job', function (this: FleetWorld) {
  const kinds = [OBJECT_KINDS.job, OBJECT_KINDS.chunk, OBJECT_KINDS.checkpoint, OBJECT_KINDS.segment]
  assert.deepEqual(kinds.flatMap((kind) => this.fleet.platform.objects(kind).map(({ name }) => name)), [])
})

Then('the batch job is {string} within {int} s', { timeout: MINUTE }, async function (this: FleetWorld, state: string, seconds: number) {
  await this.fleet.advanceUntil(async () => (await this.fleet.view(this.batchJob)).state === state, seconds * SECOND)
})

Then(/^each of the (\d+) batch items has 1 result, (.*)$/, async function (this: FleetWorld, count: string, statuses: string) {
  const byId = await getResultsById(this)
  assert.equal(byId.size, Number(count))
  for (const { id, status } of byId.values()) assert.ok(statuses.includes(`"${status}"`), `${id} is ${status}`)
})

Then('each of the {int} batch items ran exactly once on the targets', function (this: FleetWorld, count: number) {
  for (let index = 0; index < count; index++) assert.equal(getRuns(this, index).length, 1, `item ${index}`)
})

Then('no batch item ran twice', function (this: FleetWorld) {
  const began = this.fleet.targets.runs.filter(({ isResumed }) => !isResumed).map(({ requestId }) => requestId)
  assert.equal(new Set(began).size, began.length)
})

Then('no batch item ran', function (this: FleetWorld) {
  assert.equal(this.fleet.targets.runs.length, 0)
})

Then('every batch runner ran at least {int} items', function (this: FleetWorld, least: number) {
  for (const id of this.fleet.runners.keys()) assert.ok(getRunsBy(this, id).length >= least, `${id} ran too few items`)
})

Then('the batch runner {string} ran nothing', function (this: FleetWorld, id: string) {
  assert.equal(getRunsBy(this, id).length, 0)
})

Then('batch results grow while the job runs, with no duplicate id', async function (this: FleetWorld) {
  const sizes = new Set<number>()
  await this.fleet.advanceUntil(async () => {
    sizes.add((await getResultsById(this)).size)
    return sizes.has(60)
  }, 120 * SECOND)
  assert.ok(sizes.size > 3)
})

Then('no batch stream runs on a target', function (this: FleetWorld) {
  assert.deepEqual(this.fleet.targets.runs.filter(({ outcome }) => outcome === 'running'), [])
})

Then('resumed batch runs continued after the tokens already received', function (this: FleetWorld) {
  const { runs } = this.fleet.targets
  const cancelled = runs.filter(({ outcome }) => outcome === 'cancelled')
  assert.ok(cancelled.length > 0)
  for (const { requestId, tokens } of cancelled) {
    const resumed = runs.find((run) => run.requestId === requestId && run.isResumed)
    assert.ok(resumed !== undefined && resumed.resumedAt <= tokens && resumed.resumedAt >= 2)
  }
})

Then('no batch run was cancelled or resumed', function (this: FleetWorld) {
  const { runs } = this.fleet.targets
  assert.deepEqual(runs.filter(({ outcome, isResumed }) => outcome === 'cancelled' || isResumed), [])
})

Then('resumed batch runs stayed on their target', function (this: FleetWorld) {
  const { runs } = this.fleet.targets
  for (const { requestId, target } of runs.filter(({ isResumed }) => isResumed)) {
    assert.equal(runs.find((run) => run.requestId === requestId)!.target, target)
  }
})

Then('batch item {int} is {string} for {string} after {int} runs',
  async function (this: FleetWorld, index: number, status: string, reason: string, runs: number) {
    const result = (await getResultsById(this)).get(`item-${index}`)
    assert.equal(result?.status, status)
    assert.equal(result.error?.reason, reason)
    assert.equal(getRuns(this, index).length, runs)
  })

Then('{int} batch items are {string} within {int} s', { timeout: LONG_STEP_TIMEOUT_MS }, async function (
  this: FleetWorld, count: number, status: string, seconds: number
) {
  await this.fleet.advanceUntil(async () => {
    const results = [...(await getResultsById(this)).values()]
    return results.filter((result) => result.status === status).length === count
  }, seconds * SECOND)
})

Then('within {int} minutes batch item {int} runs at least {int} and at most {int} times, without a result',
  { timeout: LONG_STEP_TIMEOUT_MS }, async function (
    this: FleetWorld, minutes: number, index: number, least: number, most: number
  ) {
    await this.fleet.advance(minutes * MINUTE)
    const count = getRuns(this, index).length
    assert.ok(count >= least && count <= most, `${count} runs`)
    assert.equal((await getResultsById(this)).has(`item-${index}`), false)
  })

Then('the other {int} batch items are {string}', async function (this: FleetWorld, count: number, status: string) {
  const others = [...(await getResultsById(this)).values()].filter((result) => result.status === status)
  assert.equal(others.length, count)
})

Then('at least {int} batch item is {string}', async function (this: FleetWorld, least: number, status: string) {
  const found = [...(await getResultsById(this)).values()].filter((result) => result.status === status)
  assert.ok(found.length >= least)
})

Then('no batch item that {string} had committed ran again', function (this: FleetWorld, _id: string) {
  assert.ok(this.committedIds.length > 0)
  for (const id of this.committedIds) assert.equal(getRuns(this, Number(id.slice('item-'.length))).length, 1, id)
})

Then('the batch runner {string} had a commit refused', function (this: FleetWorld, id: string) {
  assert.ok((this.fleet.runners.get(id)!.metrics.snapshot().counters['batch.commits.lost'] ?? 0) > 0)
})

Then('batch items of claimed chunks have run meanwhile', function (this: FleetWorld) {
  const done = this.fleet.targets.runs.filter(({ outcome }) => outcome === 'done')
  assert.ok(done.length > 0 && done.length > getCommittedIds(this).length)
})

Then('no batch item starts in {int} s', { timeout: MINUTE }, async function (this: FleetWorld, seconds: number) {
  this.fleet.targets.allow()
  const before = this.fleet.targets.runs.length
  await this.fleet.advance(seconds * SECOND)
  assert.equal(this.fleet.targets.runs.length, before)
})

Then('nothing about the batch job changes in {int} s', { timeout: MINUTE }, async function (this: FleetWorld, seconds: number) {
  const { fleet, batchJob } = this
  const state = async (): Promise<unknown> => [await fleet.view(batchJob), await fleet.results(batchJob)]
  const before = await state()
  const runs = this.fleet.targets.runs.length
  await this.fleet.advance(seconds * SECOND)
  assert.deepEqual(await state(), before)
  assert.equal(this.fleet.targets.runs.length, runs)
})

Then('every batch item that ran has a result', async function (this: FleetWorld) {
  const byId = await getResultsById(this)
  const ran = Array.from({ length: 40 }, (_, index) => index).filter((index) => getRuns(this, index).length > 0)
  assert.ok(ran.length > 0)
  for (const index of ran) assert.ok(byId.has(`item-${index}`), `item ${index} ran but has no result`)
})

Then('in {int} random fault sequences each batch item has at most one result and every job ends',
  { timeout: 3 * MINUTE }, async function (runs: number) {
    await runRandomFaults(runs)
  })

After(async function (this: FleetWorld) {
  await this.fleet?.close()
})
