/** Runs the controller as a process, until it receives a stop signal. */
import { err, ok, type Result } from 'neverthrow'
import { createPeerServer, createProgramContext } from '../shared'
import { createController } from './controller'
import { createEngineControl } from './engineControl'
import type { ControllerSettings } from './settings'

/**
 * Runs until the process receives a stop signal.
 *
 * @returns an error when the controller could not start
 */
export async function runController (settings: ControllerSettings): Promise<Result<void, Error>> {
  const created = await createProgramContext(settings, { program: 'pimentoplank-controller' })
  if (created.isErr()) return err(created.error)
  const context = created.value
  const { clock, followers, log, metrics, platform, security } = context
  const peers = await createPeerServer({ ...settings.peers.listen, security, routes: context.peerRoutes })
  if (peers.isErr()) return err(peers.error)
  const { address } = peers.value
  context.announce({ address, peerAddress: address })

  const leaving = new AbortController()
  context.setStatusSource({ isLeaving: () => leaving.signal.aborted })
  leaving.signal.addEventListener('abort', followers.membership.announceLeaving)
  const engines = createEngineControl()
  const controller = createController(settings, {
    platform, followers, engines, clock, random: Math.random, metrics, log
  })
  const running = controller.run(leaving.signal)

  await context.stopRequested
  leaving.abort()
  await running
  await peers.value.close()
  await engines.close()
  await context.close()
  return ok(undefined)
}
