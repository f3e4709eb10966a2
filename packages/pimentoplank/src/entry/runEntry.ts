/** Runs an entry instance as a process: what it follows, what it serves, and its planned stop. */
import { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { createProgramContext, createSlotClient, OBJECT_KINDS, type Metrics } from '../shared'
import { createBatchRoutes } from './batches'
import type { EntryEnv } from './context'
import { createEntry } from './createEntry'
import type { EntrySettings } from './settings'
import { createSlotHome, type SlotHome, type SlotHomeStats } from './slots'

/** Serves until the process is told to stop; an error says why it could not start. */
export async function runEntry (settings: EntrySettings): Promise<Result<void, Error>> {
  const context = await createProgramContext(settings, { program: 'pimentoplank-entry', kinds: [OBJECT_KINDS.job] })
  if (context.isErr()) return err(context.error)
  const { clock, followers, log, metrics, platform, security, transports } = context.value
  const { config, feed, membership } = followers
  const { instance } = settings
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

  const started = await createEntry(settings, {
    platform,
    config,
    membership,
    feed,
    slots,
    security,
    transports,
    log,
    metrics,
    clock,
    targetsServing: followers.placement.targetsServing,
    peerRoutes: (router) => {
      context.value.peerRoutes(router)
      home.routes(router)
    },
    extraRoutes: new Hono<EntryEnv>().route('/v1/batches', createBatchRoutes({ platform, config, metrics, clock, feed })),
    onLeave: async () => {
      membership.announceLeaving()
      await home.handOver()
    }
  })
  if (started.isErr()) return err(started.error)
  const entry = started.value
  context.value.setStatusSource({
    isLeaving: () => entry.stage() !== 'serving',
    refreshGauges: () => setSlotGauges(home, metrics)
  })
  context.value.announce(entry)

  await context.value.stopRequested
  await entry.stop()
  await home.close()
  await context.value.close()
  return ok(undefined)
}

function setSlotGauges (home: SlotHome, metrics: Metrics): void {
  const stats = home.stats()
  const sum = (valueOf: (one: SlotHomeStats) => number): number => stats.reduce((total, one) => total + valueOf(one), 0)
  metrics.gauge('slots.targets', stats.length)
  metrics.gauge('slots.limit', sum((one) => one.limit))
  metrics.gauge('slots.live', sum((one) => one.inUse - one.batchInUse))
  metrics.gauge('slots.batch', sum((one) => one.batchInUse))
  metrics.gauge('slots.waiting', sum((one) => one.waiting))
}
