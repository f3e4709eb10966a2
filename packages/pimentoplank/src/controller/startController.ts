/** Puts the parts of the controller program together. */
import { err, ok, type Result } from 'neverthrow'
import {
  createFollowers, createLog, createMetrics, createPeerServer, createPeerTransports, createPlatformClient,
  createStatusRoutes, createSystemClock, loadPeerSecurity, type Log, type Peer
} from '../shared'
import { createController } from './controller'
import { createEngineControl } from './engineControl'
import type { ControllerSettings } from './settings'

export interface RunningController {
  /** Resolves when the program has ended in good order. */
  ended: Promise<void>
  log: Log
}

/**
 * Starts the program.
 *
 * @param settings - checked settings
 * @param stop - aborts when the process must leave
 */
export async function startController (
  settings: ControllerSettings,
  stop: AbortSignal
): Promise<Result<RunningController, Error>> {
  const { id, failureDomain } = settings.instance
  const log = createLog({ name: 'pimentoplank-controller', instance: id, level: settings.log.level })
  const metrics = createMetrics({ ...settings.metrics, tags: { instance: id } })
  const security = await loadPeerSecurity(settings.peers)
  if (security.isErr()) return err(security.error)
  const clock = createSystemClock()
  const random = Math.random
  const platform = createPlatformClient({ ...settings.platform, metrics, instance: id })
  const transports = createPeerTransports({ security: security.value })
  const instance: Peer = { id, failureDomain }
  const followers = createFollowers({
    platform, transports, instance, seeds: settings.peers.seeds, clock, random, metrics, log
  })
  const drained = new AbortController()
  const leaving = AbortSignal.any([stop, drained.signal])
  const status = createStatusRoutes({
    instance: id,
    program: 'pimentoplank-controller',
    metrics,
    config: followers.config,
    isLeaving: () => leaving.aborted,
    drain: () => drained.abort()
  })
  const server = await createPeerServer({
    ...settings.peers.listen,
    security: security.value,
    routes: (router) => {
      followers.routes(router)
      status(router)
    }
  })
  if (server.isErr()) return err(server.error)
  const { address } = server.value
  instance.peerAddress = address
  log.info({ address, peerAddress: address }, 'listening')

  const engines = createEngineControl()
  const controller = createController(settings, { platform, followers, engines, clock, random, metrics, log })

  async function runUntilStopped (): Promise<void> {
    leaving.addEventListener('abort', followers.membership.announceLeaving)
    await controller.run(leaving)
    await server._unsafeUnwrap().close()
    transports.close()
    await followers.close()
    await Promise.all([platform.close(), engines.close(), metrics.close()])
  }

  return ok({ ended: runUntilStopped(), log })
}
