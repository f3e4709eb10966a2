/** The connections that a command needs, closed when it ends. */
import {
  createPeerTransports, createPlatformClient, EXIT_USAGE, loadPeerSecurity, loadSettings,
  type PeerTransports, type PlatformClient
} from '../shared'
import { fail } from './output'
import { cliSettings, type CliSettings } from './settings'

export interface Connections {
  settings: CliSettings
  platform: PlatformClient
  peers: PeerTransports
}

/**
 * Runs a command with the connections of a settings file.
 *
 * @param file - settings file of the command line
 * @param act - the command
 */
export async function withConnections (file: string, act: (connections: Connections) => Promise<void>): Promise<void> {
  const settings = await loadSettings(file, cliSettings)
  if (settings.isErr()) return fail(settings.error.message, EXIT_USAGE)
  const { sharedKey, tls } = settings.value.peers
  const security = await loadPeerSecurity({ sharedKey, tls, listen: { host: '', port: 0 }, seeds: [] })
  if (security.isErr()) return fail(security.error.message, EXIT_USAGE)
  const platform = createPlatformClient({ ...settings.value.platform, instance: 'pimentoplank' })
  const peers = createPeerTransports({ security: security.value })
  await act({ settings: settings.value, platform, peers })
  peers.close()
  await platform.close()
}
