/** A deployment that measures traffic, CPU time, memory and platform calls over a period of time. */
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { createClient } from '@connectrpc/connect'
import {
  createPeerTransports, createPlatformClient, SECOND_MS, StatusService, type PlatformClient
} from 'pimentoplank/shared'
import { request } from 'undici'
import { MODEL, MODEL_VERSION, SERVICE } from '../bench/benchPlan'
import { readUsage, type ProcessUsage } from '../bench/processUsage'
import { DEPLOYMENT_PEER_KEY, deploymentPlan, startDeployment, type Deployment } from '../deployment'
import type { PlatformStats } from '../platform'
import { createFirstReleaseNote, putReleaseNote, SLOTS_PER_TARGET } from './releaseNotes'

const READY_TIMEOUT_MS = 40_000
const POLL_MS = 25
const CALL_TIMEOUT_MS = 2 * SECOND_MS

export interface ClusterSize {
  entries: number
  domains: number
  batches?: number
  controllers?: number
  engines?: number
  accounts?: number
  models?: number
  /** Time an engine takes per token, in milliseconds. */
  tokenMs?: number
}

/** Resource usage over a period of time. */
export interface Measurement {
  seconds: number
  /** CPU time spent during the period and memory at its end, by process id. */
  usage: Record<string, ProcessUsage>
  /** Bytes by link: an instance's id names the link to its peer address, `platform:<id>` its link to the platform. */
  bytes: Record<string, number>
  platform: PlatformStats
}

export interface Cluster {
  deployment: Deployment
  platform: PlatformClient
  /** Ids of the entry, batch and controller instances. */
  programs: string[]
  /** Measures resource usage while the given work runs. */
  measureDuring: (work: () => Promise<unknown>) => Promise<Measurement>
  /** Waits until every instance has applied a configuration; resolves with the time waited, in milliseconds. */
  waitUntilApplied: (sequence: number) => Promise<number>
  stop: () => Promise<void>
}

/** Starts a cluster and waits until every instance has applied its first configuration. */
export async function startCluster (name: string, folder: string, size: ClusterSize): Promise<Cluster> {
  const deployment = await startDeployment({ plan: createPlan(size), folder: path.join(folder, name), links: true })
  const platform = createPlatformClient({ url: deployment.platformUrl })
  const transports = createPeerTransports({ security: { sharedKey: DEPLOYMENT_PEER_KEY } })
  const programs = [...deployment.processes.keys()].filter((id) => /^(entry|batch|controller)-/.test(id))

  async function waitForInstances (sequence: number): Promise<number> {
    const startedAt = performance.now()
    await Promise.all(programs.map(async (id) => await waitForInstance(id, sequence)))
    return performance.now() - startedAt
  }

  async function waitForInstance (id: string, sequence: number): Promise<void> {
    // Connects to the process directly, not through its link, so that these calls are not counted as traffic.
    const { peerAddress } = deployment.processes.get(id)!.listening
    const client = createClient(StatusService, transports.get(peerAddress!))
    const deadline = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < deadline) {
      const status = await client.getStatus({}, { timeoutMs: CALL_TIMEOUT_MS }).catch(() => undefined)
      if (status !== undefined && status.configSequence >= sequence) return
      await delay(POLL_MS)
    }
    throw new Error(`instance ${id} did not apply configuration ${sequence} in time`)
  }

  async function stop (): Promise<void> {
    transports.close()
    await platform.close()
    // Instances are killed without a graceful shutdown, since no work depends on them any more.
    await deployment.stop({ graceMs: 0 })
  }

  try {
    await putReleaseNote(platform, createFirstReleaseNote({
      accounts: size.accounts ?? 100, models: size.models ?? 27
    }))
    await waitForInstances(1)
  } catch (cause) {
    await stop()
    throw cause
  }
  return {
    deployment,
    platform,
    programs,
    waitUntilApplied: waitForInstances,
    stop,
    measureDuring: async (work) => await measure(deployment, work)
  }
}

function createPlan (size: ClusterSize): ReturnType<typeof deploymentPlan.parse> {
  const engineArgs = [
    '--slots', String(SLOTS_PER_TARGET), '--token-ms', String(size.tokenMs ?? 20), '--token-slope-ms', '0',
    '--first-token-ms', '5', '--prefill-token-ms', '0', '--preloaded', `${MODEL}@${MODEL_VERSION}`
  ]
  return deploymentPlan.parse({
    region: 'local',
    failureDomains: Array.from({ length: size.domains }, (_, index) => `local-${index}`),
    entries: size.entries,
    batches: size.batches ?? 0,
    controllers: size.controllers ?? 0,
    engines: size.engines === undefined ? [] : [{ service: SERVICE, count: size.engines, args: engineArgs }]
  })
}

async function measure (deployment: Deployment, work: () => Promise<unknown>): Promise<Measurement> {
  await request(`${deployment.platformUrl}/_control/stats`, { method: 'DELETE' }).then((res) => res.body.dump())
  const before = await readCounters(deployment)
  const linksBefore = new Map(deployment.links)
  const startedAt = performance.now()
  await work()
  const seconds = (performance.now() - startedAt) / SECOND_MS
  const after = await readCounters(deployment)
  const res = await request(`${deployment.platformUrl}/_control/stats`)
  const usage = Object.fromEntries(Object.entries(after.usage).map(([id, each]) =>
    [id, { ...each, cpuMs: each.cpuMs - (before.usage[id]?.cpuMs ?? 0) }]))
  const bytes = Object.fromEntries(Object.entries(after.bytes).map(([name, count]) =>
    [name, linksBefore.get(name) === deployment.links.get(name) ? count - before.bytes[name]! : count]))
  return { seconds, usage, bytes, platform: await res.body.json() as PlatformStats }
}

async function readCounters (deployment: Deployment): Promise<Pick<Measurement, 'usage' | 'bytes'>> {
  const usage: Measurement['usage'] = {}
  for (const { id, pid } of deployment.processes.values()) {
    const processUsage = await readUsage(pid)
    if (processUsage !== undefined) usage[id] = processUsage
  }
  const bytes = Object.fromEntries([...deployment.links].map(([name, link]) => [name, link.getByteCount()]))
  return { usage, bytes }
}
