/** A deployment under measurement: started, configured, and measured while it runs experiments. */
import { mkdir } from 'node:fs/promises'
import { loadavg } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { createCaller } from '../caller'
import { startDeployment, type Deployment } from '../deployment'
import { runExperiment, type Experiment, type ExperimentResult } from '../load'
import type { PlatformStats } from '../platform'
import { removeInstance } from '../shared'
import { createBenchNote, createBenchPlan, KEY_PREFIX, MODEL, SERVICE, type BenchPlanOptions } from './benchPlan'
import { createLoad } from './experiments'
import { putFirstNote } from './putNote'
import { readUsage, type ProcessUsage } from './processUsage'

const READY_LIMIT_MS = 30_000
const READY_POLL_MS = 100
const READY_TOKENS = 2
/** Time until the platform notices that an instance is gone, in milliseconds. */
const LIST_DELAY_MS = 2000
const WARM_UP = { name: 'warm-up', seed: 0, durationMs: 2500, ratePerSecond: 60, isBursty: false }

/** One run of an experiment, with what the processes used. */
export interface MeasuredRun {
  result: ExperimentResult
  elapsedMs: number
  /** Usage during the run, by process id; absent for those that ended. */
  usage: Record<string, ProcessUsage>
  platform: PlatformStats
  /** Processes that wanted a processor, on average over the last minute; above the processors, times are unreliable. */
  loadAverage: number
}

export interface BenchDeployment {
  deployment: Deployment
  engineIds: string[]
  /** Runs an experiment; `during` is called as it starts. */
  measure: (experiment: Experiment, during?: (bench: BenchDeployment) => Promise<void>) => Promise<MeasuredRun>
  /** Runs an experiment against the engines, without the system between. */
  measureDirect: (experiment: Experiment) => Promise<MeasuredRun>
  /** Kills instances at once; the platform takes them out of its list a little later. */
  kill: (ids: readonly string[]) => Promise<void>
  /** Starts every killed instance again and waits until the deployment answers. */
  repair: () => Promise<void>
  stop: () => Promise<void>
}

/**
 * Starts a deployment and waits until each entry instance answers.
 *
 * @param name - names its folder of settings and logs
 * @param folder - folder of the benchmark run
 */
export async function startBenchDeployment (
  name: string,
  folder: string,
  options: BenchPlanOptions,
  commit?: string
): Promise<BenchDeployment> {
  const home = path.join(folder, name)
  await mkdir(home, { recursive: true })
  const deployment = await startDeployment({ plan: createBenchPlan(options), folder: home })
  const killed = new Set<string>()
  const engineIds = [...deployment.processes.keys()].filter((id) => id.startsWith(`${SERVICE}-`))

  async function measureAt (
    entries: readonly string[],
    experiment: Experiment,
    during?: () => Promise<void>
  ): Promise<MeasuredRun> {
    await request(`${deployment.platformUrl}/_control/stats`, { method: 'DELETE' }).then((res) => res.body.dump())
    const before = await readAllUsage(deployment)
    const startedAt = performance.now()
    const [result] = await Promise.all([runExperiment({ experiment, entries, commit }), during?.()])
    const elapsedMs = performance.now() - startedAt
    const usage = subtractUsage(await readAllUsage(deployment), before)
    const stats = await request(`${deployment.platformUrl}/_control/stats`)
    const platform = await stats.body.json() as PlatformStats
    return { result, elapsedMs, usage, platform, loadAverage: loadavg()[0]! }
  }

  async function kill (ids: readonly string[]): Promise<void> {
    for (const id of ids) {
      killed.add(id)
      deployment.processes.get(id)!.signal('SIGKILL')
    }
    await delay(LIST_DELAY_MS)
    for (const id of ids) await removeInstance(deployment.platformUrl, id)
  }

  async function repair (): Promise<void> {
    for (const id of killed) {
      await deployment.processes.get(id)!.exited
      await deployment.restart(id)
    }
    killed.clear()
    await waitUntilReady(deployment)
  }

  const bench: BenchDeployment = {
    deployment,
    engineIds,
    measure: async (experiment, during) =>
      await measureAt(deployment.entryAddresses(), experiment, async () => await during?.(bench)),
    measureDirect: async (experiment) =>
      await measureAt(engineIds.map((id) => deployment.processes.get(id)!.listening.address), experiment),
    kill,
    repair,
    stop: async () => { await deployment.stop() }
  }

  try {
    await putFirstNote(deployment.platformUrl, createBenchNote(options))
    await waitUntilReady(deployment)
    // Compiled code and open connections, as in a process that has run for a while.
    await runExperiment({ experiment: createLoad(WARM_UP), entries: deployment.entryAddresses() })
  } catch (cause) {
    await deployment.stop()
    throw cause
  }
  return bench
}

/** Waits until every target has the model, every entry instance answers whole, and all are in the directory. */
async function waitUntilReady (deployment: Deployment): Promise<void> {
  const limit = performance.now() + READY_LIMIT_MS
  const entries = deployment.entryAddresses()
  await Promise.all([
    ...engineAddresses(deployment).map(async (address) => await poll(limit, async () => await hasModel(address))),
    ...entries.map(async (address) => await poll(limit, async () => await answers(address))),
    ...entries.map(async (address) => await poll(limit, async () => await listsAll(address, entries)))
  ])
}

function engineAddresses (deployment: Deployment): string[] {
  return [...deployment.processes.values()]
    .filter(({ id }) => id.startsWith(`${SERVICE}-`))
    .map(({ listening }) => listening.address)
}

async function poll (limit: number, test: () => Promise<boolean>): Promise<void> {
  while (!await test().catch(() => false)) {
    if (performance.now() > limit) throw new Error('the deployment did not get ready')
    await delay(READY_POLL_MS)
  }
}

async function hasModel (address: string): Promise<boolean> {
  const res = await request(`http://${address}/v1/state`)
  const { models } = await res.body.json() as { models: Array<{ name: string, status: string }> }
  return models.some((model) => model.name === MODEL && model.status === 'ready')
}

async function answers (address: string): Promise<boolean> {
  // Without a directory answer the caller stays with this address.
  const caller = createCaller({ seeds: [address], key: `${KEY_PREFIX}0` })
  try {
    const res = await caller.send('/v1/chat/completions', {
      method: 'POST',
      address,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model: MODEL, max_tokens: READY_TOKENS, messages: [{ role: 'user', content: 'ready?' }] })
    })
    await res.body.dump()
    return res.statusCode === 200
  } finally {
    await caller.close()
  }
}

/** True when the directory of an entry instance names every one, so that callers spread over all. */
async function listsAll (address: string, entries: readonly string[]): Promise<boolean> {
  const headers = { authorization: `Bearer ${KEY_PREFIX}0` }
  const res = await request(`http://${address}/v1/instances`, { headers })
  const { instances } = await res.body.json() as { instances: Array<{ address: string }> }
  return entries.every((entry) => instances.some((instance) => instance.address === entry))
}

async function readAllUsage (deployment: Deployment): Promise<Record<string, ProcessUsage>> {
  const usage: Record<string, ProcessUsage> = {}
  for (const { id, pid } of deployment.processes.values()) {
    const read = await readUsage(pid)
    if (read !== undefined) usage[id] = read
  }
  return usage
}

function subtractUsage (
  after: Record<string, ProcessUsage>,
  before: Record<string, ProcessUsage>
): Record<string, ProcessUsage> {
  return Object.fromEntries(Object.entries(after).map(([id, usage]) =>
    [id, { ...usage, cpuMs: usage.cpuMs - (before[id]?.cpuMs ?? 0) }]))
}
