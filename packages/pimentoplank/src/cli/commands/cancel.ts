import { command, positional, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import type { JobView } from '../../entry'
import type { CliError } from '../cliError'
import { withConnections } from '../connections'
import { callEntry } from '../entryApi'
import { configOption, jsonFlag } from '../options'
import { runCommand, type Output } from '../runCommand'

/** `cancel JOB`: cancels a batch job permanently. */
export const cancel = command({
  name: 'cancel',
  description: 'Cancel a batch job permanently. Committed results remain readable.',
  args: { job: positional({ type: string, displayName: 'JOB' }), config: configOption, json: jsonFlag },
  handler: async ({ job, config, json }) => await runCommand(async () => await cancelJob(job, config), json)
})

async function cancelJob (job: string, config: string): Promise<Result<Output, CliError>> {
  return await withConnections(config, async ({ settings }) => {
    const view = await callEntry<JobView>(settings, 'POST', `/v1/batches/${encodeURIComponent(job)}/cancel`)
    if (view.isErr()) return err(view.error)
    return ok({ text: `${view.value.id}: ${view.value.state}`, data: view.value })
  })
}
