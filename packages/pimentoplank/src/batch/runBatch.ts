/** Runs a batch runner as a process, until a stop is requested. */
import { err, ok, type Result } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import {
  createEngineClient, createPeerServer, createProgramContext, createQuarantine, createSlotClient, OBJECT_KINDS
} from '../shared'
import { createBatchRunner } from './runner'
import type { BatchSettings } from './settings'

/** Runs until a stop is requested; the error says why the process could not start. */
export async function runBatch (settings: BatchSettings): Promise<Result<void, Error>> {
  const created = await createProgramContext(settings, { program: 'pimentoplank-batch', kinds: [OBJECT_KINDS.job] })
  if (created.isErr()) return err(created.error)
  const context = created.value
  const { clock, followers, log, metrics, platform, security, transports } = context
  const { config, feed, membership } = followers
  const { instance } = settings
  const peers = await createPeerServer({ ...settings.peers.listen, security, routes: context.peerRoutes })
  if (peers.isErr()) return err(peers.error)
  let isLeaving = false

  const engines = createEngineClient({ clock })
  const slots = createSlotClient({
    instanceId: instance.id,
    failureDomain: instance.failureDomain,
    region: instance.region,
    membership,
    transports,
    clock,
    metrics,
    log,
    settings: settings.slotClient
  })
  const quarantine = createQuarantine({ platform, feed, clock, metrics, log })
  const runner = createBatchRunner(
    { instance: instance.id, processId: `${instance.id}-${uuid()}`, settings: settings.batch },
    { platform, feed, slots, engines, membership, config, quarantine, clock, metrics, log }
  )
  context.setStatusSource({
    isLeaving: () => isLeaving,
    refreshGauges: () => {
      const { chunksHeld, itemsInProgress: items } = runner.status()
      metrics.gauge('batch.chunks.held', chunksHeld)
      metrics.gauge('batch.items.inHand', items)
    }
  })
  const { address } = peers.value
  context.announce({ address, peerAddress: address })

  await context.stopRequested
  isLeaving = true
  membership.announceLeaving()
  await runner.stop()
  await Promise.all([slots.close(), engines.close()])
  await peers.value.close()
  await context.close()
  return ok(undefined)
}
