/** Batch runners in one process, each with its own clock, on an in-memory platform and in-memory targets. */
import assert from 'node:assert/strict'
import { Hono } from 'hono'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createBatchRunner, runnerSettings, type BatchRunner, type RunnerSettings } from '../../src/batch'
import { createBatchRoutes, type JobView } from '../../src/entry/batches'
import type { EntryEnv } from '../../src/entry/context'
import {
  accountEntry, configEntry, createInMemoryMetrics, createSilentLog, createSnapshot, createStaticConfig,
  createStaticMembership, type BatchResult, type InstanceRecord, type Metrics
} from '../../src/shared'
import { createFakeTargets, type FakeTargets, type FakeTargetsOptions } from './fakeTargets'
import { createManualClock, type ManualClock } from './manualClock'
import { createMemoryPlatform, type MemoryPlatform } from './memoryPlatform'

/** Length of one time step in milliseconds; each step advances the runners one after the other. */
const STEP_MS = 50
/** Default seed of the runners' random choices. */
const SEED = 20_261_203

export interface BatchFleetOptions {
  targets?: Partial<FakeTargetsOptions>
  settings?: Record<string, unknown>
  chunkItems?: number
  /** Seed of the runners' random choices. */
  seed?: number
  /** Names of the runners that appear in the instance list. */
  listed?: string[]
}

export interface FleetRunner {
  runner: BatchRunner
  clock: ManualClock
  metrics: Metrics
  /** True while the clock of the process does not advance; a killed process stays frozen. */
  isFrozen: boolean
  isKilled: boolean
  /** True while the process receives no feed events. */
  isFeedCut: boolean
}

export interface UploadItem {
  content: string
  noRepeat?: boolean
}

export interface BatchFleet {
  platform: MemoryPlatform
  targets: FakeTargets
  runners: Map<string, FleetRunner>
  /** Starts a process; its instance is named after the part of the id before a `/`. */
  start: (id: string) => FleetRunner
  /** Freezes a process for good and fails its platform calls. */
  kill: (id: string) => void
  advance: (ms: number) => Promise<void>
  /** Advances the clocks until a condition holds; throws when it does not hold within the limit. */
  advanceUntil: (condition: () => boolean | Promise<boolean>, limitMs: number) => Promise<void>
  /** Uploads items, whose ids are their positions, and returns the job id. */
  upload: (items: readonly UploadItem[], key?: string) => Promise<string>
  view: (job: string) => Promise<JobView>
  results: (job: string) => Promise<BatchResult[]>
  cancel: (job: string) => Promise<number>
  close: () => Promise<void>
}

/** Creates a fleet without runners. */
export function createBatchFleet (options: BatchFleetOptions = {}): BatchFleet {
  const platform = createMemoryPlatform()
  const targets = createFakeTargets({ targets: 3, slots: 4, tokenMs: 100, tokens: 5, ...options.targets })
  const model = configEntry.parse({ kind: 'model', name: 'desk', service: 'desk-lm', version: '1' })
  const config = createStaticConfig(createSnapshot(1, [model]))
  const settings: RunnerSettings = runnerSettings.parse({ parallelism: 4, chunksHeld: 2, ...options.settings })
  const runners = new Map<string, FleetRunner>()
  const generator = xoroshiro128plus(options.seed ?? SEED)
  const listed = (options.listed ?? []).map((id): InstanceRecord => ({
    id, role: 'batch', address: '127.0.0.1:1', failureDomain: 'rum-a', region: 'jo-south', state: 'live'
  }))
  const app = new Hono<EntryEnv>()
  app.use(async (c, next) => {
    c.set('account', accountEntry.parse({ kind: 'account', name: 'dunes', keyHash: '0'.repeat(64) }))
    c.set('requestId', 'request')
    c.set('log', createSilentLog())
    await next()
  })
  const limits = { chunkItems: options.chunkItems ?? 10 }
  app.route('/v1/batches', createBatchRoutes({
    platform: platform.client('entry'), config, metrics: createInMemoryMetrics(), limits
  }))

  function start (id: string): FleetRunner {
    const clock = createManualClock()
    const metrics = createInMemoryMetrics()
    const started: Omit<FleetRunner, 'runner'> = { clock, metrics, isFrozen: false, isKilled: false, isFeedCut: false }
    const runner = createBatchRunner({ instance: id.split('/')[0]!, processId: id, settings }, {
      platform: platform.client(id),
      feed: platform.feed(() => !entry.isFrozen && !entry.isFeedCut),
      slots: targets.slots(clock),
      engines: targets.engines(id, clock),
      membership: createStaticMembership([...targets.records, ...listed]),
      config,
      quarantine: targets.quarantine(),
      clock,
      metrics,
      log: createSilentLog(),
      random: () => uniformFloat64(generator)
    })
    const entry: FleetRunner = Object.assign(started, { runner })
    runners.set(id, entry)
    return entry
  }

  function kill (id: string): void {
    Object.assign(runners.get(id)!, { isFrozen: true, isKilled: true })
    const before = platform.faultOf
    platform.faultOf = (call) => call.client === id ? 'down' : before(call)
  }

  async function advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (const { clock, isFrozen } of runners.values()) if (!isFrozen) await clock.advance(STEP_MS)
    }
  }

  async function until (condition: () => boolean | Promise<boolean>, limitMs: number): Promise<void> {
    for (let passed = 0; !await condition(); passed += STEP_MS) {
      assert.ok(passed < limitMs, `condition not met within ${limitMs} ms: ${condition.toString()}`)
      await advance(STEP_MS)
    }
  }

  async function upload (items: readonly UploadItem[], key = 'rosters'): Promise<string> {
    const lines = items.map(({ content, noRepeat }, index) =>
      JSON.stringify({ id: `item-${index}`, body: { messages: [{ role: 'user', content }] }, noRepeat }))
    const headers = { 'idempotency-key': key }
    const res = await app.request('/v1/batches?model=desk', { method: 'POST', headers, body: lines.join('\n') })
    const view = await res.json() as JobView
    assert.ok(res.ok, JSON.stringify(view))
    return view.id
  }

  async function results (job: string): Promise<BatchResult[]> {
    const res = await app.request(`/v1/batches/${job}/results`)
    const text = await res.text()
    return text.split('\n').filter(Boolean).map((line) => JSON.parse(line) as BatchResult)
  }

  async function close (): Promise<void> {
    platform.faultOf = () => undefined
    const live = [...runners.values()].filter(({ isFrozen }) => !isFrozen)
    const stopped = Promise.all(live.map(async ({ runner }) => await runner.stop()))
    let isDone = false
    const ended = stopped.then(() => { isDone = true })
    await until(() => isDone, 120_000)
    await ended
  }

  return {
    platform,
    targets,
    runners,
    start,
    kill,
    advance,
    advanceUntil: until,
    upload,
    view: async (job) => await (await app.request(`/v1/batches/${job}`)).json() as JobView,
    results,
    cancel: async (job) => (await app.request(`/v1/batches/${job}/cancel`, { method: 'POST' })).status,
    close
  }
}
