/** Runs an entry instance as a process, from start to graceful shutdown. */
import { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { createProgramContext, createSlotClient, OBJECT_KINDS, type Metrics } from '../shared'
import { createBatchRoutes } from './batches'
import type { EntryEnv } from './context'
import { createEntry } from './createEntry'
import type { EntrySettings } from './settings'
import { createSlotScheduler, type SlotScheduler, type TargetStats } from './slots'

/**
 * Serves until the process receives a stop signal.
 *
 * @returns an error when the instance could not start
 */
export async function runEntry (settings: EntrySettings): Promise<Result<void, Error>> {
  const context = await createProgramContext(settings, { program: 'pimentoplank-entry', kinds: [OBJECT_KINDS.job] })
  if (context.isErr()) return err(context.error)
  const { clock, followers, log, metrics, platform, security, transports } = context.value
  const { config, feed, membership } = followers
  const { instance } = settings
  const common = { instanceId: instance.id, membership, clock, metrics, log }
  const slotScheduler = createSlotScheduler({ ...common, config, settings: settings.slotHome })
  const slots = createSlotClient({
    ...common,
    failureDomain: instance.failureDomain,
    region: instance.region,
    transports,
    localScheduler: slotScheduler,
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
    targetsServing: followers.placement.getServingTargets,
    peerRoutes: (router) => {
      context.value.peerRoutes(router)
      slotScheduler.routes(router)
    },
    extraRoutes: new Hono<EntryEnv>().route('/v1/batches', createBatchRoutes({ platform, config, metrics, clock, feed })),
    onLeave: async () => {
      membership.announceLeaving()
      await slotScheduler.handOver()
    }
  })
  if (started.isErr()) return err(started.error)
  const entry = started.value
  context.value.setStatusSource({
    isLeaving: () => entry.stage() !== 'serving',
    refreshGauges: () => setSlotGauges(slotScheduler, metrics)
  })
  context.value.announce(entry)

  await context.value.stopRequested
  await entry.stop()
  await slotScheduler.close()
  await context.value.close()
  return ok(undefined)
}

function setSlotGauges (slotScheduler: SlotScheduler, metrics: Metrics): void {
  const stats = slotScheduler.stats()
  const sum = (getValue: (target: TargetStats) => number): number =>
    stats.reduce((total, target) => total + getValue(target), 0)
  metrics.gauge('slots.targets', stats.length)
  metrics.gauge('slots.limit', sum((target) => target.limit))
  metrics.gauge('slots.live', sum((target) => target.inUse - target.batchInUse))
  metrics.gauge('slots.batch', sum((target) => target.batchInUse))
  metrics.gauge('slots.waiting', sum((target) => target.waiting))
}
