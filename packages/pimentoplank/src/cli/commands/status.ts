import { command } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { MS_PER_SECOND } from '../../shared'
import type { CliError } from '../cliError'
import { collectStatus, type FleetStatus, type InstanceStatus } from '../collectStatus'
import { withConnections } from '../connections'
import { configOption, jsonFlag } from '../options'
import { runCommand, type Output } from '../runCommand'
import { renderTable } from '../table'

/** `status`: shows every instance, refusals and retries by reason, and the oldest unfinished job. */
export const status = command({
  name: 'status',
  description: 'Show every instance, refusals and retries by reason, and the oldest unfinished job.',
  args: { config: configOption, json: jsonFlag },
  handler: async ({ config, json }) => await runCommand(async () => await showStatus(config), json)
})

async function showStatus (config: string): Promise<Result<Output, CliError>> {
  return await withConnections(config, async (connections) => {
    const fleet = await collectStatus(connections)
    return fleet.isErr() ? err(fleet.error) : ok({ text: renderStatus(fleet.value), data: fleet.value })
  })
}

const COLUMNS = ['instance', 'role', 'failure domain', 'state', 'configuration', 'queue', 'slots', 'live', 'batch']

function renderStatus (fleet: FleetStatus): string {
  const { oldestJob } = fleet
  return [
    renderTable(COLUMNS, fleet.instances.map(toRow)),
    '',
    `Refusals by reason: ${renderCounts(fleet.refusals)}`,
    `Retries by reason:  ${renderCounts(fleet.retries)}`,
    `Unfinished jobs:    ${fleet.unfinishedJobs}`,
    ...(oldestJob === undefined
      ? []
      : [`Oldest of them:     ${oldestJob.id} of ${oldestJob.account}, ${Math.round(oldestJob.ageMs / MS_PER_SECOND)} s old`])
  ].join('\n')
}

function toRow (instance: InstanceStatus): string[] {
  const { id, role, failureDomain, gauges = {} } = instance
  const gauge = (name: string): string => gauges[name] === undefined ? '' : String(gauges[name])
  if (instance.failure !== undefined) return [id, role, failureDomain, `no answer: ${instance.failure}`]
  return [
    id, role, failureDomain, instance.leaving === true ? 'leaving' : 'serving', String(instance.configSequence),
    gauge('slots.waiting'), gauge('slots.limit'), gauge('slots.live'), gauge('slots.batch')
  ]
}

function renderCounts (counts: Record<string, number>): string {
  const entries = Object.entries(counts).sort(([, a], [, b]) => b - a)
  return entries.length === 0 ? 'none' : entries.map(([reason, count]) => `${reason} ${count}`).join(', ')
}
