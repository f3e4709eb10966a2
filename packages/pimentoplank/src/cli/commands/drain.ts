import { createClient } from '@connectrpc/connect'
import { command, positional, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { describeCause, SECOND_MS, StatusService } from '../../shared'
import { CliError, usageError } from '../cliError'
import { withConnections } from '../connections'
import { configOption } from '../options'
import { runCommand, type Output } from '../runCommand'

const CALL_TIMEOUT_MS = 5 * SECOND_MS

/** `drain INSTANCE`: shuts an instance down gracefully, as SIGTERM does. */
export const drain = command({
  name: 'drain',
  description: 'Shut an instance down gracefully: it finishes running requests, hands over its work and exits.',
  args: { instance: positional({ type: string, displayName: 'INSTANCE' }), config: configOption },
  handler: async ({ instance, config }) => await runCommand(async () => await drainInstance(instance, config))
})

async function drainInstance (id: string, config: string): Promise<Result<Output, CliError>> {
  return await withConnections(config, async ({ platform, transports }) => {
    const records = await platform.listInstances()
    if (records.isErr()) return err(new CliError(records.error.message))
    const peerAddress = records.value.find((record) => record.id === id)?.peerAddress
    if (peerAddress === undefined) return err(usageError(`INSTANCE: expected an instance of the system, got "${id}"`))
    try {
      await createClient(StatusService, transports.get(peerAddress)).drain({}, { timeoutMs: CALL_TIMEOUT_MS })
    } catch (cause) {
      return err(new CliError(`${id} did not respond: ${describeCause(cause)}`))
    }
    return ok({ text: `${id} is shutting down`, data: { instance: id } })
  })
}
