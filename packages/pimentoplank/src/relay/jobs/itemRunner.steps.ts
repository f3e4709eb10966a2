import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { err, ok, type Result } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createEmptyReport } from '../../../features/support/emptyReport'
import { createInMemoryMetrics, createSilentLog, hash32 } from '../../shared'
import { SendFailure, type Exchange, type TargetAnswer } from '../exchange'
import type { PeerView, WaitingItems } from '../gossip'
import type { LoadView, TargetLoad } from '../load'
import type { ProcessNeed, Route, Target, TargetRequest } from '../model'
import { createRouteTable, type RouteTable } from '../routing'
import { RELAY_RULES } from '../rules'
import { createItemRunner, createJobRegistry, type ItemRunner } from '.'
import { createOwnedJob, type OwnedJob } from './ownedJob'

type Chunk = Result<Uint8Array | undefined, SendFailure>

/** A run that reached a target. */
interface SentRun extends TargetRequest {
  push: (chunk: Chunk) => void
  signal: AbortSignal
  need?: ProcessNeed
}

interface RunnerWorld {
  /** True once targets are known to crash on the prompts of the items. */
  isCrashing?: boolean
  isPlatformAway?: boolean
  clock: ManualClock
  runner: ItemRunner
  job: OwnedJob
  table: RouteTable
  loads: Map<string, TargetLoad>
  /** Number of failures recorded of each target. */
  failures: Map<string, number>
  /** Ids of targets that are not registered any more. */
  gone: Set<string>
  sent: SentRun[]
  isCutOff?: boolean
  losePath: () => void
  /** True while targets don't begin to answer. */
  isUnanswered?: boolean
  /** Ids of targets that don't tell which process answers. */
  unidentified?: Set<string>
  /** True while the record of the job is out of date. */
  isOutOfDate?: boolean
  /** Number of crashes recorded. */
  crashes?: number
  /** True while targets refuse requests as full. */
  isFull?: boolean
  /** Status with which targets answer, without a body. */
  status?: number
  /** Items that a peer reports. */
  waitingElsewhere?: readonly WaitingItems[]
  isPaused?: boolean
}

const SELF = 'instance-1'
const SERVICE = 'assistant'
const TURNS = 10
const DUE_MS = 60_000

After(async function (this: Partial<RunnerWorld>) {
  await this.runner?.stopAll?.()
})

async function settle (): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
}

function createTable (services: Route['services'], otherServices: Route['services'] = []): RouteTable {
  const route: Route = {
    name: 'batch',
    host: 'h',
    pathPrefix: '/x/',
    kind: 'batch',
    services,
    timeoutMs: 1000,
    targetLatencyMs: 1000,
    targetGapMs: 1000,
    priority: 0,
    maxAttempts: 3,
    isResumable: true
  }
  const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
  const other = { ...route, name: 'other', pathPrefix: '/y/', services: otherServices }
  return createRouteTable({ version: 1, routes: [route, other], services: new Map(), limits })
}

function createPeer (waiting: readonly WaitingItems[]): PeerView {
  const fields = { instance: 'instance-2', failureDomain: 'a', peerAddress: 'p', waiting }
  return { report: createEmptyReport(fields), lastReceivedAt: 0 }
}

function createJob (count: number, now: () => number): OwnedJob {
  const items = Array.from({ length: count }, (_, index) => (
    { id: `item-${index}`, path: `/x/${index}`, headers: [], body: '', tokens: 1 }
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
  return createOwnedJob({
    id: 'job', stored: { record, revision: 1, asOf: now() }, items, getTimes: () => ({ dueAt: DUE_MS, expiresAt: DUE_MS }), now
  })
}

function addTarget (
  { loads }: RunnerWorld, id: string, slots: number, version = 'v1', service = SERVICE
): void {
  const target: Target = { id, service, address: id, failureDomain: 'a', version, slots, state: 'ready' }
  loads.set(id, {
    target,
    key: loads.size,
    live: 0,
    batch: 0,
    ownLive: 0,
    ownBatch: 0,
    isSuspect: false,
    isOwnSuspect: false,
    isFresh: true,
    isPreferred: false,
    isOutdated: false,
    isLeaving: false,
    allowance: Infinity
  })
}

function createFakeLoads (world: RunnerWorld): LoadView {
  const loads: Partial<LoadView> = {
    getLoads: (service) => [...world.loads.values()]
      .filter(({ target }) => target.service === service && !world.gone.has(target.id)),
    getLoad: (id) => world.loads.get(id),
    begin: (id) => { world.loads.get(id)!.batch += 1 },
    end: (id) => { world.loads.get(id)!.batch -= 1 },
    recordFailure: (id) => { world.failures.set(id, (world.failures.get(id) ?? 0) + 1) }
  }
  return loads as LoadView
}

/** Answers each request with events that the scenario sends. */
function createFakeExchange (world: RunnerWorld): Exchange {
  async function send (
    outgoing: TargetRequest, signal: AbortSignal, need?: ProcessNeed
  ): Promise<Result<TargetAnswer, SendFailure>> {
    const chunks: Chunk[] = []
    let wake = (): void => undefined
    const push = (chunk: Chunk): void => {
      chunks.push(chunk)
      wake()
    }
    signal.addEventListener('abort', () => push(err(new SendFailure('broken', true, 'aborted'))))
    world.sent.push({ ...outgoing, push, signal, need })
    if (world.isFull === true) return err(new SendFailure('refused', false, 'the target is full', 503))
    if (world.status !== undefined) push(ok(undefined))
    if (world.unidentified?.has(outgoing.target.id) === true) {
      return err(new SendFailure('unknownProcess', false, 'the state did not come'))
    }
    if (world.isUnanswered === true) {
      await new Promise((resolve) => signal.addEventListener('abort', resolve))
      return err(new SendFailure('aborted', true, 'aborted'))
    }
    return ok({
      head: {
        status: world.status ?? 200,
        headers: [],
        isNotRun: false,
        isOtherTarget: false,
        isSigned: true,
        isLeaving: false
      },
      getEnding: () => ({ framing: 'chunks' as const, bytes: 0, connection: 'open' as const }),
      read: async () => {
        while (chunks.length === 0) await new Promise<void>((resolve) => { wake = resolve })
        return chunks.shift()!
      },
      close: () => undefined
    })
  }
  return { send, connections: {} as unknown as Exchange['connections'] }
}

Given('an item runner with a job of {int} item(s) and a target {string} with {int} slot(s)', function (
  this: RunnerWorld, count: number, id: string, slots: number
) {
  this.clock = createManualClock()
  this.table = createTable([{ service: SERVICE, weight: 1 }])
  this.loads = new Map()
  this.sent = []
  this.failures = new Map()
  this.gone = new Set()
  addTarget(this, id, slots)
  const { clock } = this
  const jobRegistry = createJobRegistry({
    self: SELF, noticeMs: 0, onNotice: () => undefined, clock, log: createSilentLog()
  })
  this.job = createJob(count, () => clock.now())
  jobRegistry.add(this.job)
  this.runner = createItemRunner({
    self: SELF,
    jobRegistry,
    inputs: {
      readBody: async (_job, item) => this.isPlatformAway === true ? undefined : Buffer.from(item).toString('base64')
    },
    loads: createFakeLoads(this),
    crashes: {
      recordPossibleCrash: () => { this.crashes = (this.crashes ?? 0) + 1 },
      recordAnswer: () => undefined,
      hasCrashingParts: () => this.isCrashing === true
    },
    exchange: createFakeExchange(this),
    paths: {
      isCutOff: () => this.isCutOff === true,
      isAnswering: () => false,
      isDirectUsable: () => this.isCutOff !== true,
      recordSilent: () => undefined,
      onLost: (listener) => {
        this.losePath = () => {
          this.isCutOff = true
          listener(this.clock.now())
        }
        return () => undefined
      }
    },
    table: () => this.table,
    peers: () => this.waitingElsewhere === undefined ? [] : [createPeer(this.waitingElsewhere)],
    failureDomain: 'a',
    rules: RELAY_RULES.items,
    mayStart: (job) => !job.isEnded() && this.isOutOfDate !== true,
    mayAwaitAnswers: () => this.isOutOfDate !== true,
    isPaused: () => this.isPaused === true,
    onFinished: () => undefined,
    clock,
    random: () => 0.5,
    metrics: createInMemoryMetrics(),
    log: createSilentLog()
  })
})

Given('the bodies of the job were dropped from memory', function (this: RunnerWorld) {
  this.job.dropBodies()
})

When(/^the platform (does not answer|answers) reads of the input$/, function (this: RunnerWorld, answers: string) {
  this.isPlatformAway = answers === 'does not answer'
})

Then('the item was sent with its body', function (this: RunnerWorld) {
  const { id, body } = this.sent.at(-1)!.request
  assert.equal(Buffer.from(body).toString(), id)
})

Then('no failure of target {string} is recorded', function (this: RunnerWorld, id: string) {
  assert.equal(this.failures.get(id) ?? 0, 0)
})

Given('a target {string} with {int} slot(s)', function (this: RunnerWorld, id: string, slots: number) {
  addTarget(this, id, slots)
})

When('target {string} gets {int} slot(s)', function (this: RunnerWorld, id: string, slots: number) {
  const load = this.loads.get(id)!
  load.target = { ...load.target, slots }
})

When('the route names another service', function (this: RunnerWorld) {
  this.table = createTable([{ service: 'another', weight: 1 }])
})

When('the route names {string} with weight {int} beside the first service', function (
  this: RunnerWorld, service: string, weight: number
) {
  this.table = createTable([{ service: SERVICE, weight: 1 }, { service, weight }])
})

When('the runner looks for items to start', async function (this: RunnerWorld) {
  this.runner.dispatch()
  await settle()
})

When('the runner looks for items to start and the job is ended in the same moment', async function (this: RunnerWorld) {
  this.runner.dispatch()
  this.job.markEnded()
  await settle()
})

When('target {string} sends events {int} to {int}', async function (this: RunnerWorld, id: string, first: number, last: number) {
  const run = this.sent.findLast(({ target }) => target.id === id)!
  for (let event = first; event <= last; event++) run.push(ok(Buffer.from(`id: ${event}\ndata: ${id}${event}\n\n`)))
  await settle()
})

When('{int} s pass for the item runner', async function (this: RunnerWorld, seconds: number) {
  await this.clock.advance(seconds * 1000)
  await settle()
})

When('the path to targets is lost for the item runner', async function (this: RunnerWorld) {
  this.losePath()
  await settle()
})

Then('{int} crash is recorded', function (this: RunnerWorld, count: number) {
  assert.equal(this.crashes ?? 0, count)
})

Then('the item ran {int} times', function (this: RunnerWorld, count: number) {
  assert.equal(this.sent.length, count)
})

Then('the item ran {int} times, the last time at {string} after event {int}', function (
  this: RunnerWorld, count: number, id: string, event: number
) {
  assert.equal(this.sent.length, count)
  assert.equal(this.sent.at(-1)!.target.id, id)
  assert.equal(this.sent.at(-1)!.lastEventId, event)
})

Then('the item ran {int} times, the last time at {string} before its first event', function (
  this: RunnerWorld, count: number, id: string
) {
  assert.equal(this.sent.length, count)
  assert.equal(this.sent.at(-1)!.target.id, id)
  assert.equal(this.sent.at(-1)!.lastEventId, undefined)
})

Then('target {string} has failed {int} time(s)', function (this: RunnerWorld, id: string, count: number) {
  assert.equal(this.failures.get(id) ?? 0, count)
})

Then('target {string} has {int} items and target {string} has {int}', function (
  this: RunnerWorld, first: string, firstCount: number, second: string, secondCount: number
) {
  assert.equal(this.loads.get(first)!.batch, firstCount)
  assert.equal(this.loads.get(second)!.batch, secondCount)
})

Given('a target {string} of version {string} with {int} slot(s)', function (
  this: RunnerWorld, id: string, version: string, slots: number
) {
  addTarget(this, id, slots, version)
})

Given('a target {string} of service {string} with {int} slot(s)', function (
  this: RunnerWorld, id: string, service: string, slots: number
) {
  addTarget(this, id, slots, 'v1', service)
})

Given('the first item has failed once', function (this: RunnerWorld) {
  this.job.openItems().get('item-0')!.failures = 1
})

Then('the first item has failed {int} times', function (this: RunnerWorld, count: number) {
  assert.equal(this.job.openItems().get('item-0')!.failures, count)
})

When('the run at {string} breaks off', async function (this: RunnerWorld, id: string) {
  this.sent.findLast(({ target }) => target.id === id)!.push(err(new SendFailure('broken', true, 'reset')))
  await settle()
})

When('the peer through which the run at {string} goes is lost', async function (this: RunnerWorld, id: string) {
  this.sent.findLast(({ target }) => target.id === id)!.push(err(new SendFailure('peerLost', true, 'the tunnel broke')))
  await settle()
})

When('target {string} has version {string}', function (this: RunnerWorld, id: string, version: string) {
  const load = this.loads.get(id)!
  load.target = { ...load.target, version }
})

When('target {string} is full of live requests', function (this: RunnerWorld, id: string) {
  const load = this.loads.get(id)!
  load.live = load.target.slots
})

When('target {string} is gone', function (this: RunnerWorld, id: string) {
  this.gone.add(id)
})

When('target {string} is back', function (this: RunnerWorld, id: string) {
  this.gone.delete(id)
})

When('target {string} is gone and target {string} of version {string} has {int} slot(s)', function (
  this: RunnerWorld, gone: string, id: string, version: string, slots: number
) {
  this.gone.add(gone)
  addTarget(this, id, slots, version)
})

Then('the item ran {int} times, the last time at {string} from its beginning', function (
  this: RunnerWorld, count: number, id: string
) {
  assert.equal(this.sent.length, count)
  assert.equal(this.sent.at(-1)!.target.id, id)
  assert.equal(this.sent.at(-1)!.lastEventId, undefined)
})

Then('the item may still be sent', function (this: RunnerWorld) {
  assert.equal(this.sent.at(-1)!.mayStillSend!(), true)
})

When('the job ends for the item runner', function (this: RunnerWorld) {
  this.job.markEnded()
})

When('targets are found to crash on the prompt of the item', function (this: RunnerWorld) {
  this.isCrashing = true
})

Then('the item may not be sent any more', function (this: RunnerWorld) {
  assert.equal(this.sent.at(-1)!.mayStillSend!(), false)
})

Given('targets do not begin to answer', function (this: RunnerWorld) {
  this.isUnanswered = true
})

When('the record of the job is out of date', function (this: RunnerWorld) {
  this.isOutOfDate = true
})

When('the record of the job is read again', function (this: RunnerWorld) {
  this.isOutOfDate = false
})

Then('the run of the item was aborted', function (this: RunnerWorld) {
  assert.equal(this.sent.at(-1)!.signal.aborted, true)
})

When('the answer of target {string} ends without a sign whether events follow', async function (this: RunnerWorld, id: string) {
  this.sent.findLast(({ target }) => target.id === id)!.push(err(new SendFailure('openEnd', true, 'more may follow')))
  await settle()
})

Given('targets refuse each request', function (this: RunnerWorld) {
  this.isFull = true
})

Given('targets answer each request with status {int}', function (this: RunnerWorld, status: number) {
  this.status = status
})

When('the runner looks for items to start {int} times, {int} s apart', async function (
  this: RunnerWorld, times: number, seconds: number
) {
  for (let turn = 0; turn < times; turn++) {
    this.runner.dispatch()
    await settle()
    await this.clock.advance(seconds * 1000)
    await settle()
  }
})

Then('the first item is not completed', function (this: RunnerWorld) {
  assert.deepEqual(this.job.pendingResults().filter(({ completed }) => completed), [])
})

Then('the first item is a dead letter', function (this: RunnerWorld) {
  assert.deepEqual(this.job.pendingResults().map(({ completed }) => completed), [false])
})

Given('target {string} does not tell which process answers', function (this: RunnerWorld, id: string) {
  this.unidentified = new Set([id])
})

When('target {string} tells which process answers', function (this: RunnerWorld, id: string) {
  this.unidentified!.delete(id)
})

When('{int} ms pass for the item runner', async function (this: RunnerWorld, ms: number) {
  await this.clock.advance(ms)
  await settle()
})

Then('items ran {int} times at {string} and {int} times at {string}', function (
  this: RunnerWorld, firstCount: number, first: string, secondCount: number, second: string
) {
  const count = (id: string): number => this.sent.filter(({ target }) => target.id === id).length
  assert.deepEqual([count(first), count(second)], [firstCount, secondCount])
})

When('the item runner looks for items to start every {int} ms for {int} s', async function (
  this: RunnerWorld, stepMs: number, seconds: number
) {
  for (let passedMs = 0; passedMs < seconds * 1000; passedMs += stepMs) {
    await this.clock.advance(stepMs)
    this.runner.dispatch()
    await settle()
  }
})

Then('the last run was at {string} from the beginning of its text', function (this: RunnerWorld, id: string) {
  const last = this.sent.findLast(({ target }) => target.id === id)
  assert.ok(last !== undefined, `no run at ${id}`)
  assert.equal(last, this.sent.at(-1))
  assert.equal(last.lastEventId, undefined)
})

Then('no run at {string} went on with text', function (this: RunnerWorld, id: string) {
  assert.ok(this.sent.every(({ target, lastEventId }) => target.id !== id || lastEventId === undefined))
})

Given('a peer reports {int} items that are due earlier and wait for service {string}', function (
  this: RunnerWorld, count: number, service: string
) {
  this.waitingElsewhere = [{ dueAt: 0, count, service: hash32(service) }]
})

When('no new run may start', function (this: RunnerWorld) {
  this.isPaused = true
})

Then(/^the item runner reports (\d+) waiting items?(?: of (.*))?$/, function (
  this: RunnerWorld, count: string, services: string | undefined
) {
  const waiting = this.runner.getWaiting()
  assert.equal(waiting.reduce((sum, one) => sum + one.count, 0), Number(count))
  const named = services === undefined ? [] : services.split(' and ')
  const expected = named.map((name) => name === 'no named service' ? undefined : hash32(JSON.parse(name) as string))
  assert.deepEqual(new Set(waiting.map(({ service }) => service)), new Set(expected))
})

When('a second route of jobs names service {string}', function (this: RunnerWorld, service: string) {
  this.table = createTable([{ service: SERVICE, weight: 1 }], [{ service, weight: 1 }])
})
