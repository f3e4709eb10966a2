/** `pimentoplank status` and `pimentoplank drain`. */
import { createClient } from '@connectrpc/connect'
import {
  describeCause, SECOND_MS, StatusService,
  type GetStatusResponse, type InstanceRecord, type PeerTransports, type PlatformClient
} from '../shared'
import { fail, formatTable, print, printJson } from './output'

const TIMEOUT_MS = 2 * SECOND_MS

/** Status of one instance, or why it gave none. */
export interface InstanceStatus {
  id: string
  role: string
  failureDomain: string
  /** State in the platform's list. */
  listed: string
  /** Absent when the instance did not answer. */
  status?: Pick<GetStatusResponse, 'version' | 'leaving' | 'counters' | 'gauges'> & { configSequence: number }
  problem?: string
}

/** Asks every instance in the platform's list; one that is dead does not keep the others from showing. */
export async function readStatus (
  instances: readonly InstanceRecord[],
  peers: PeerTransports
): Promise<InstanceStatus[]> {
  const ours = instances.filter(({ service }) => service === undefined).sort((a, b) => a.id < b.id ? -1 : 1)
  return await Promise.all(ours.map(async (record) => await readOne(record, peers)))
}

async function readOne (record: InstanceRecord, peers: PeerTransports): Promise<InstanceStatus> {
  const { id, role, failureDomain, state: listed, peerAddress } = record
  const base = { id, role, failureDomain, listed }
  if (peerAddress === undefined) return { ...base, problem: 'no peer address' }
  try {
    const client = createClient(StatusService, peers.to(peerAddress))
    const { version, leaving, counters, gauges, configSequence } = await client.getStatus({}, { timeoutMs: TIMEOUT_MS })
    return { ...base, status: { version, leaving, counters, gauges, configSequence: Number(configSequence) } }
  } catch (cause) {
    return { ...base, problem: describeCause(cause) }
  }
}

const HEADING = ['instance', 'role', 'domain', 'config', 'state', 'queue', 'slots', 'batch', 'refusals', 'retries', 'oldest job']

/** Prints the status of all instances. */
export async function showStatus (platform: PlatformClient, peers: PeerTransports, asJson: boolean): Promise<void> {
  const list = await platform.listInstances()
  if (list.isErr()) return fail(list.error.message)
  const all = await readStatus(list.value, peers)
  if (asJson) return printJson(all)
  print(...formatTable(HEADING, all.map(row)))
  const targets = list.value.filter(({ service }) => service !== undefined)
  print('', `${targets.length} targets, ${targets.filter(({ state }) => state === 'live').length} live`)
}

function row (entry: InstanceStatus): string[] {
  const { id, role, failureDomain, status, problem } = entry
  if (status === undefined) return [id, role, failureDomain, '-', `no answer: ${problem ?? ''}`]
  const { counters, gauges, configSequence, leaving } = status
  return [
    id, role, failureDomain, String(configSequence), leaving ? 'leaving' : entry.listed,
    gauge(gauges, 'queue'), gauge(gauges, 'slots.held'), gauge(gauges, 'slots.batchShare'),
    reasons(counters, 'refusals.'), reasons(counters, 'retries.'), gauge(gauges, 'batch.oldestJobSeconds')
  ]
}

function gauge (gauges: Readonly<Record<string, number>>, name: string): string {
  return gauges[name] === undefined ? '-' : String(Math.round(gauges[name] * 100) / 100)
}

function reasons (counters: Readonly<Record<string, number>>, prefix: string): string {
  const found = Object.entries(counters).filter(([name]) => name.startsWith(prefix))
  return found.map(([name, count]) => `${name.slice(prefix.length)}=${count}`).join(' ') || '-'
}

/** Makes one instance leave, as SIGTERM does. */
export async function drainInstance (id: string, platform: PlatformClient, peers: PeerTransports): Promise<void> {
  const list = await platform.listInstances()
  if (list.isErr()) return fail(list.error.message)
  const peerAddress = list.value.find((record) => record.id === id && record.service === undefined)?.peerAddress
  if (peerAddress === undefined) return fail(`no instance ${id} in the platform's list`)
  try {
    await createClient(StatusService, peers.to(peerAddress)).drain({}, { timeoutMs: TIMEOUT_MS })
    print(`${id} is leaving`)
  } catch (cause) {
    fail(`${id} did not answer: ${describeCause(cause)}`)
  }
}
