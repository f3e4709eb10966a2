/** A deployment under benchmark: starts and configures it, runs experiments on it and measures its processes. */
import { mkdir } from 'node:fs/promises'
import { loadavg } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { createCaller } from '../caller'
import { startDeployment, type Deployment } from '../deployment'
import { runExperiment, type Experiment, type ExperimentResult } from '../load'
import type { PlatformStats } from '../platform'
import { deregisterInstance } from '../shared'
import { createBenchReleaseNote, createBenchPlan, KEY_PREFIX, MODEL, SERVICE, type BenchPlanOptions } from './benchPlan'
import { createExperiment } from './experiments'
import { putFirstNote } from './putNote'
import { readUsage, type ProcessUsage } from './processUsage'

const READY_TIMEOUT_MS = 30_000
const READY_POLL_MS = 100
const READY_TOKENS = 2
/** Delay after which the platform drops a killed instance from its list, in milliseconds. */
const REMOVAL_DELAY_MS = 2000
const WARM_UP = { name: 'warm-up', seed: 0, durationMs: 2500, ratePerSecond: 60, isBursty: false }

/** One run of an experiment with the resource usage of the processes. */
export interface MeasuredRun {
  result: ExperimentResult
  elapsedMs: number
  /** Usage during the run, by process id; absent for processes that ended. */
  usage: Record<string, ProcessUsage>
  platform: PlatformStats
  /** Load average over the last minute; when it exceeds the number of processors, the measured times are unreliable. */
  loadAverage: number
}

export interface BenchDeployment {
  deployment: Deployment
  engineIds: string[]
  /** Runs an experiment; `during` is called when it starts. */
  measure: (experiment: Experiment, during?: (bench: BenchDeployment) => Promise<void>) => Promise<MeasuredRun>
  /** Runs an experiment directly against the engines, bypassing the system. */
  measureDirect: (experiment: Experiment) => Promise<MeasuredRun>
  /** Kills instances; the platform removes them from its list after a delay, as when they crash. */
  kill: (ids: readonly string[]) => Promise<void>
  /** Restarts every killed instance and waits until the deployment is ready. */
  repair: () => Promise<void>
  stop: () => Promise<void>
}

/**
 * Starts a deployment and waits until it is ready and warmed up.
 *
 * @param name - name of its folder for settings and logs
 * @param folder - parent folder, that of the benchmark run
 */
export async function startBenchDeployment (
  name: string,
  folder: string,
  options: BenchPlanOptions,
  commit?: string
): Promise<BenchDeployment> {
  const deploymentFolder = path.join(folder, name)
  await mkdir(deploymentFolder, { recursive: true })
  const deployment = await startDeployment({ plan: createBenchPlan(options), folder: deploymentFolder })
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
    await delay(REMOVAL_DELAY_MS)
    for (const id of ids) await deregisterInstance(deployment.platformUrl, id)
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
    await putFirstNote(deployment.platformUrl, createBenchReleaseNote(options))
    await waitUntilReady(deployment)
    // Warms up JIT compilation and connections, so that measurements are those of a long-running process.
    await runExperiment({ experiment: createExperiment(WARM_UP), entries: deployment.entryAddresses() })
  } catch (cause) {
    await deployment.stop()
    throw cause
  }
  return bench
}

/** Waits until every engine has the model, every entry instance answers a request, and all directories are complete. */
async function waitUntilReady (deployment: Deployment): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS
  const entries = deployment.entryAddresses()
  await Promise.all([
    ...listEngineAddresses(deployment).map(async (address) =>
      await waitUntil(deadline, async () => await hasModel(address))),
    ...entries.map(async (address) => await waitUntil(deadline, async () => await respondsToChat(address))),
    ...entries.map(async (address) => await waitUntil(deadline, async () => await hasFullDirectory(address, entries)))
  ])
}

function listEngineAddresses (deployment: Deployment): string[] {
  return [...deployment.processes.values()]
    .filter(({ id }) => id.startsWith(`${SERVICE}-`))
    .map(({ listening }) => listening.address)
}

async function waitUntil (deadline: number, isReady: () => Promise<boolean>): Promise<void> {
  while (!await isReady().catch(() => false)) {
    if (performance.now() > deadline) throw new Error('deployment was not ready within the time limit')
    await delay(READY_POLL_MS)
  }
}

async function hasModel (address: string): Promise<boolean> {
  const res = await request(`http://${address}/v1/state`)
  const { models } = await res.body.json() as { models: Array<{ name: string, status: string }> }
  return models.some((model) => model.name === MODEL && model.status === 'ready')
}

async function respondsToChat (address: string): Promise<boolean> {
  // The address is given explicitly, so that the caller doesn't pick another one from the directory.
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

/** True when the directory of an entry instance lists all entry instances, so that callers spread over all of them. */
async function hasFullDirectory (address: string, entries: readonly string[]): Promise<boolean> {
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
