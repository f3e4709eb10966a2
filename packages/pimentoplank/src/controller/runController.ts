/** Runs the controller as a process, until it is told to stop. */
import { err, ok, type Result } from 'neverthrow'
import { createPeerServer, createProgramContext } from '../shared'
import { createController } from './controller'
import { createEngineControl } from './engineControl'
import type { ControllerSettings } from './settings'

/** Leads whenever it can until the process is told to stop; an error says why it could not start. */
export async function runController (settings: ControllerSettings): Promise<Result<void, Error>> {
  const created = await createProgramContext(settings, { program: 'pimentoplank-controller' })
  if (created.isErr()) return err(created.error)
  const context = created.value
  const peers = await createPeerServer({
    ...settings.peers.listen, security: context.security, routes: context.peerRoutes
  })
  if (peers.isErr()) return err(peers.error)
  const { address } = peers.value
  context.announce({ address, peerAddress: address })

  const stop = new AbortController()
  context.setLeaving(() => stop.signal.aborted)
  const engines = createEngineControl()
  const running = createController(settings, { ...context, engines, random: Math.random }).run(stop.signal)

  await context.stopRequested
  context.followers.membership.announceLeaving()
  stop.abort()
  await running
  await engines.close()
  await peers.value.close()
  await context.close()
  return ok(undefined)
}
