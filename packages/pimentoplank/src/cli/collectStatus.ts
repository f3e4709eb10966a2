/** Collects the status of all instances. */
import { createClient } from '@connectrpc/connect'
import { err, ok, type Result } from 'neverthrow'
import {
  describeCause, isFinalState, jobRecord, OBJECT_KINDS, SECOND_MS, StatusService,
  type InstanceRecord, type PlatformClient
} from '../shared'
import { CliError } from './cliError'
import type { Connections } from './connections'

const CALL_TIMEOUT_MS = 2 * SECOND_MS

/** Status of one instance; `failure` is set when it did not respond. */
export interface InstanceStatus {
  id: string
  role: string
  failureDomain: string
  version?: string
  configSequence?: number
  leaving?: boolean
  counters?: Record<string, number>
  gauges?: Record<string, number>
  failure?: string
}

export interface FleetStatus {
  instances: InstanceStatus[]
  /** Totals over all instances, by reason. */
  refusals: Record<string, number>
  retries: Record<string, number>
  /** Unfinished batch job with the earliest creation time. */
  oldestJob?: { id: string, account: string, ageMs: number }
  unfinishedJobs: number
}

/** Collects the status of the fleet, including the instances that don't respond. */
export async function collectStatus (connections: Connections): Promise<Result<FleetStatus, CliError>> {
  const records = await connections.platform.listInstances()
  if (records.isErr()) return err(new CliError(records.error.message))
  const systemInstances = records.value.filter((record) => record.peerAddress !== undefined)
  const instances = await Promise.all(systemInstances.map(async (record) => await fetchStatus(connections, record)))
  const jobs = await listUnfinishedJobs(connections.platform)
  if (jobs.isErr()) return err(jobs.error)
  const [oldest] = jobs.value.sort((a, b) => a.createdAt - b.createdAt)
  return ok({
    instances,
    refusals: sumByReason(instances, 'refusals.'),
    retries: sumByReason(instances, 'retries.'),
    unfinishedJobs: jobs.value.length,
    ...(oldest === undefined
      ? {}
      : { oldestJob: { id: oldest.id, account: oldest.account, ageMs: Date.now() - oldest.createdAt } })
  })
}

async function fetchStatus ({ transports }: Connections, record: InstanceRecord): Promise<InstanceStatus> {
  const { id, role, failureDomain } = record
  try {
    const client = createClient(StatusService, transports.get(record.peerAddress!))
    const { version, configSequence, leaving, counters, gauges } =
      await client.getStatus({}, { timeoutMs: CALL_TIMEOUT_MS })
    return { id, role, failureDomain, version, configSequence: Number(configSequence), leaving, counters, gauges }
  } catch (cause) {
    return { id, role, failureDomain, failure: describeCause(cause) }
  }
}

interface UnfinishedJob {
  id: string
  account: string
  createdAt: number
}

async function listUnfinishedJobs (platform: PlatformClient): Promise<Result<UnfinishedJob[], CliError>> {
  const page = await platform.listAll(OBJECT_KINDS.job)
  if (page.isErr()) return err(new CliError(page.error.message))
  return ok(page.value.items.flatMap(({ name, value }) => {
    const job = jobRecord.safeParse(value).data
    if (job === undefined || isFinalState(job.state)) return []
    return [{ id: name, account: job.account, createdAt: job.createdAt }]
  }))
}

function sumByReason (instances: readonly InstanceStatus[], prefix: string): Record<string, number> {
  const sums: Record<string, number> = {}
  for (const { counters = {} } of instances) {
    for (const [name, value] of Object.entries(counters)) {
      if (!name.startsWith(prefix)) continue
      const reason = name.slice(prefix.length)
      sums[reason] = (sums[reason] ?? 0) + value
    }
  }
  return sums
}
