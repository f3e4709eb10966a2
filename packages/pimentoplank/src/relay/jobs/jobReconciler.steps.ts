import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { ok } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createInMemoryMetrics, createSilentLog, rankByRendezvous } from '../../shared'
import { createSeededRandom } from '../decisions/testing/seededRandom'
import type { PeerView, Stage } from '../gossip'
import { createJobReconciler, createJobRegistry, type JobReconciler } from '.'
import type { StoredJob } from './jobStore'

interface ReconcilerWorld {
  self: string
  clock: ManualClock
  reconciler: JobReconciler
  owner: string
  successor: string
  peers: Map<string, Stage>
  records: Map<string, StoredJob>
  /** Jobs for which a takeover was tried. */
  tried: string[]
  canTakeOver: boolean
}

const JOB = 'job'
const INSTANCES = ['instance-1', 'instance-2', 'instance-3', 'instance-4']
const OWNER = 'instance-1'
const TICK_MS = 100
const START_MS = 3000
/** Time after which an instance without news counts as lost, in milliseconds. */
const LOSS_MS = 1500

function createStored (owner: string, revision: number, epoch = 1): StoredJob {
  return {
    record: {
      route: 'batch',
      host: 'h',
      owner,
      epoch,
      submittedAt: 0,
      total: 1,
      inputParts: 1,
      tokens: 1,
      ended: false,
      finished: false
    },
    revision,
    asOf: 0
  }
}

function toPeers (stages: ReadonlyMap<string, Stage>): PeerView[] {
  return [...stages].map(([instance, stage]) => (
    { report: { instance, stage }, lastReceivedAt: 0 } as unknown as PeerView
  ))
}

async function pass (world: ReconcilerWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    world.reconciler.tick()
    await world.clock.advance(TICK_MS)
  }
}

function lose (world: ReconcilerWorld, instance: string): void {
  world.peers.delete(instance)
  world.reconciler.recordLoss()
}

Given('an instance that hears the owner of a stored job and the successor of that one', async function (this: ReconcilerWorld) {
  const [successor, self] = rankByRendezvous(OWNER, INSTANCES.filter((id) => id !== OWNER), (id) => id)
  this.clock = createManualClock()
  this.self = self!
  this.owner = OWNER
  this.successor = successor!
  this.peers = new Map(INSTANCES.filter((id) => id !== self).map((id) => [id, 'serving']))
  this.records = new Map([[JOB, createStored(OWNER, 1)]])
  this.tried = []
  this.canTakeOver = true
  const log = createSilentLog()
  const jobRegistry = createJobRegistry({ self: self!, noticeMs: 0, onNotice: () => undefined, clock: this.clock, log })
  this.reconciler = createJobReconciler({
    self: self!,
    jobRegistry,
    jobManager: {
      takeOver: async (id) => {
        this.tried.push(id)
        // As if it were finished at once.
        if (this.canTakeOver) this.records.delete(id)
        return this.canTakeOver
      }
    },
    recordView: {
      getOpen: () => new Map(this.records),
      refresh: async () => ok(undefined)
    },
    peers: () => toPeers(this.peers),
    isLeaving: () => false,
    clock: this.clock,
    random: () => 0.5,
    metrics: createInMemoryMetrics(),
    log
  })
  this.reconciler.start(START_MS)
  await pass(this, 2 * START_MS)
  assert.deepEqual(this.tried, [])
})

Given('the job can\'t be taken over yet', function (this: ReconcilerWorld) {
  this.canTakeOver = false
})

When('the owner is lost, and its successor {int} ms later', async function (this: ReconcilerWorld, ms: number) {
  await pass(this, LOSS_MS)
  lose(this, this.owner)
  await pass(this, ms)
  lose(this, this.successor)
})

When('the record of the job names this instance', function (this: ReconcilerWorld) {
  this.records.set(JOB, createStored(this.self, 2, 2))
})

When('every peer is lost, but the owner stores another job every {int} s for {int} s', async function (
  this: ReconcilerWorld, everyS: number, seconds: number
) {
  for (const peer of [...this.peers.keys()]) lose(this, peer)
  for (let passedS = 0; passedS < seconds; passedS += everyS) {
    await pass(this, everyS * 1000)
    this.records.set(`${JOB}-${passedS}`, createStored(this.owner, 2 + passedS))
  }
})

When('the owner leaves and the job is handed over {int} ms later', async function (this: ReconcilerWorld, ms: number) {
  this.peers.set(this.owner, 'leaving')
  await pass(this, ms)
  this.records.set(JOB, createStored(this.successor, 2, 2))
  await pass(this, 30_000)
})

Then('the instance takes the job over within {int} ms', async function (this: ReconcilerWorld, ms: number) {
  await pass(this, ms)
  assert.deepEqual(this.tried, [JOB])
})

Then('the instance takes {int} jobs over within {int} ms', async function (this: ReconcilerWorld, count: number, ms: number) {
  assert.deepEqual(this.tried, [])
  await pass(this, ms)
  assert.equal(new Set(this.tried).size, count)
})

Then('the instance tries {int} to {int} times in {int} s to take the job over', async function (
  this: ReconcilerWorld, least: number, most: number, seconds: number
) {
  await pass(this, seconds * 1000)
  assert.ok(this.tried.length >= least && this.tried.length <= most, `${this.tried.length} tries`)
})

Then('the instance has taken {int} job over', function (this: ReconcilerWorld, count: number) {
  assert.equal(this.tried.length, count)
})

Then('the instance has taken no job over', function (this: ReconcilerWorld) {
  assert.deepEqual(this.tried, [])
})

Then('{int} instances that lose a peer every {int} s read the records at most {int} times in {int} s', { timeout: 60_000 }, async (
  count: number, lossS: number, most: number, seconds: number
) => {
  const clock = createManualClock()
  const log = createSilentLog()
  const random = createSeededRandom(count)
  const peers = toPeers(new Map(Array.from({ length: count - 1 }, (_, index) => [`instance-${index}`, 'serving'])))
  let reads = 0
  const reconcilers = Array.from({ length: count }, () => createJobReconciler({
    self: 'self',
    jobRegistry: createJobRegistry({ self: 'self', noticeMs: 0, onNotice: () => undefined, clock, log }),
    jobManager: { takeOver: async () => true },
    recordView: {
      getOpen: () => new Map(),
      refresh: async () => {
        reads += 1
        return ok(undefined)
      }
    },
    peers: () => peers,
    isLeaving: () => false,
    clock,
    random,
    metrics: createInMemoryMetrics(),
    log
  }))
  for (const one of reconcilers) one.start(START_MS)
  for (let ms = 0; ms < seconds * 1000; ms += TICK_MS) {
    if (ms % (lossS * 1000) === lossS * 500) for (const one of reconcilers) one.recordLoss()
    for (const one of reconcilers) one.tick()
    await clock.advance(TICK_MS)
  }
  assert.ok(reads > 0 && reads <= most, `${reads} reads`)
})
