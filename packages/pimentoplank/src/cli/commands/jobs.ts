import { command, number, option } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import type { JobView } from '../../entry'
import type { CliError } from '../cliError'
import { withConnections } from '../connections'
import { callEntry } from '../entryApi'
import { configOption, jsonFlag } from '../options'
import { runCommand, type Output } from '../runCommand'
import { renderTable } from '../table'

const DEFAULT_LIMIT = 50

interface JobPage {
  batches: JobView[]
}

/** `jobs`: lists batch jobs of all accounts. */
export const jobs = command({
  name: 'jobs',
  description: 'List batch jobs of all accounts.',
  args: {
    config: configOption,
    limit: option({ type: number, long: 'limit', defaultValue: () => DEFAULT_LIMIT, description: 'Most jobs listed.' }),
    json: jsonFlag
  },
  handler: async ({ config, limit, json }) => await runCommand(async () => await listJobs(config, limit), json)
})

async function listJobs (config: string, limit: number): Promise<Result<Output, CliError>> {
  return await withConnections(config, async ({ settings }) => {
    const page = await callEntry<JobPage>(settings, 'GET', `/v1/batches?limit=${limit}`)
    if (page.isErr()) return err(page.error)
    const rows = page.value.batches.map((job) => [
      job.id, job.account, job.key, job.state, String(job.items), job.createdAt, job.endedAt ?? ''
    ])
    const header = ['job', 'account', 'key', 'state', 'items', 'created', 'ended']
    return ok({ text: renderTable(header, rows), data: page.value.batches })
  })
}
