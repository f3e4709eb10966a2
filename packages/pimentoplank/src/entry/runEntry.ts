/** Runs an entry instance as a process: what it follows, what it serves, and its planned stop. */
import { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import {
  createFollowers, createLog, createMetrics, createPeerTransports, createPlatformClient, createSlotClient,
  createStatusRoutes, createStopSignal, createSystemClock, loadPeerSecurity, type Peer
} from '../shared'
import { createBatchRoutes } from './batches'
import type { EntryEnv } from './context'
import { createEntry } from './createEntry'
import type { EntrySettings } from './settings'
import { createSlotHome } from './slots'

const PROGRAM = 'pimentoplank-entry'

/** Serves until the process is told to stop; an error says why it could not start. */
export async function runEntry (settings: EntrySettings): Promise<Result<void, Error>> {
  const { instance } = settings
  const security = await loadPeerSecurity(settings.peers)
  if (security.isErr()) return err(security.error)
  const log = createLog({ name: PROGRAM, instance: instance.id, level: settings.log.level })
  const metrics = createMetrics({ ...settings.metrics, tags: { instance: instance.id } })
  const clock = createSystemClock()
  const platform = createPlatformClient({ ...settings.platform, instance: instance.id, metrics, clock })
  const transports = createPeerTransports({ security: security.value })
  const self: Peer = { id: instance.id, failureDomain: instance.failureDomain }
  const followers = createFollowers({
    platform, transports, instance: self, seeds: settings.peers.seeds, clock, metrics, log
  })
  const { config, feed, membership } = followers
  const common = { instanceId: instance.id, membership, clock, metrics, log }
  const home = createSlotHome({ ...common, config, settings: settings.slotHome })
  const slots = createSlotClient({
    ...common,
    failureDomain: instance.failureDomain,
    region: instance.region,
    transports,
    localHome: home,
    settings: settings.slotClient
  })
  const stopSignal = createStopSignal()
  const drain = new AbortController()
  let isLeaving = (): boolean => false
  const status = createStatusRoutes({
    instance: instance.id,
    program: PROGRAM,
    metrics,
    config,
    isLeaving: () => isLeaving(),
    drain: () => drain.abort()
  })

  const started = await createEntry(settings, {
    platform,
    config,
    membership,
    feed,
    slots,
    security: security.value,
    transports,
    log,
    metrics,
    clock,
    peerRoutes: (router) => {
      followers.routes(router)
      home.routes(router)
      status(router)
    },
    extraRoutes: new Hono<EntryEnv>().route('/v1/batches', createBatchRoutes({ platform, config, metrics, clock, feed })),
    onLeave: async () => {
      membership.announceLeaving()
      await home.handOver()
    }
  })
  if (started.isErr()) return err(started.error)
  const entry = started.value
  self.peerAddress = entry.peerAddress
  isLeaving = () => entry.stage() !== 'serving'
  log.info({ address: entry.address, peerAddress: entry.peerAddress }, 'listening')
  followers.ready().then(() => log.info({ sequence: config.current().sequence }, 'configuration read'), () => undefined)

  await aborted(AbortSignal.any([stopSignal, drain.signal]))
  await entry.stop()
  await home.close()
  await followers.close()
  transports.close()
  await platform.close()
  await metrics.close()
  return ok(undefined)
}

async function aborted (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
