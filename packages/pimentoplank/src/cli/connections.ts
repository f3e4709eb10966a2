/** Clients that a command needs, created from its settings file. */
import { err, ok, type Result } from 'neverthrow'
import {
  createLog, createInMemoryMetrics, createPeerTransports, createPlatformClient, createReleaseLog, createSystemClock,
  loadPeerSecurity, loadSettings,
  type PeerTransports, type PlatformClient, type ReleaseLog
} from '../shared'
import { CliError, usageError } from './cliError'
import { cliSettings, type CliSettings } from './settings'

export interface Connections {
  settings: CliSettings
  platform: PlatformClient
  releaseLog: ReleaseLog
  transports: PeerTransports
}

/**
 * Creates the clients, runs the work with them and closes them.
 *
 * @param file - path of the settings file
 */
export async function withConnections<Value> (
  file: string,
  work: (connections: Connections) => Promise<Result<Value, CliError>>
): Promise<Result<Value, CliError>> {
  const settings = await loadSettings(file, cliSettings)
  if (settings.isErr()) return err(usageError(settings.error.message))
  const connections = await connect(settings.value)
  if (connections.isErr()) return err(connections.error)
  try {
    return await work(connections.value)
  } finally {
    connections.value.transports.close()
    await connections.value.platform.close()
  }
}

async function connect (settings: CliSettings): Promise<Result<Connections, CliError>> {
  const security = await loadPeerSecurity({ ...settings.peers, listen: { host: '127.0.0.1', port: 0 }, seeds: [] })
  if (security.isErr()) return err(usageError(`peers.tls: ${security.error.message}`))
  const clock = createSystemClock()
  const metrics = createInMemoryMetrics()
  const platform = createPlatformClient({ ...settings.platform, instance: 'cli', metrics, clock })
  const log = createLog({ name: 'pimentoplank', level: 'warn', stream: process.stderr })
  return ok({
    settings,
    platform,
    releaseLog: createReleaseLog({ platform, clock, metrics, log }),
    transports: createPeerTransports({ security: security.value })
  })
}
