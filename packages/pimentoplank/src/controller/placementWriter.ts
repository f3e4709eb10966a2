/** Publishes the placement of each model when it changes, at a limited rate. */
import {
  OBJECT_KINDS, parsePlacement, toPlacementName, PlatformConflict,
  type Clock, type Followers, type Lease, type Metrics, type PlacementRecord, type PlatformClient, type StoredObject
} from '../shared'

export interface PlacementWriterOptions {
  platform: PlatformClient
  followers: Pick<Followers, 'feed'>
  clock: Clock
  metrics: Metrics
  /** Least time between two writes for one model, in milliseconds. */
  minIntervalMs: number
}

export interface PlacementWriter {
  /** Lists the published placements of all models. */
  getPublished: () => PlacementRecord[]
  /**
   * Publishes a placement.
   *
   * @returns `current` when the platform has it, `later` when it must be retried, `superseded` when a newer
   * controller has written or the lease is lost
   */
  publish: (record: PlacementRecord, lease: Lease) => Promise<'current' | 'later' | 'superseded'>
  /** Removes the placement of a model that was withdrawn. */
  withdraw: (model: string, lease: Lease) => Promise<void>
}

/** Creates a writer. */
export function createPlacementWriter (options: PlacementWriterOptions): PlacementWriter {
  const { platform, clock, metrics } = options
  const { feed } = options.followers
  const writtenAt = new Map<string, number>()

  function findObject (model: string): StoredObject | undefined {
    return feed.objects(OBJECT_KINDS.status).get(toPlacementName(model))
  }

  async function publish (
    record: PlacementRecord,
    lease: Lease
  ): Promise<'current' | 'later' | 'superseded'> {
    const object = findObject(record.model)
    const known = object === undefined ? undefined : parsePlacement(object)
    if (known !== undefined && known.epoch > lease.epoch()) return 'superseded'
    if (known !== undefined && isSamePlacement(known, record)) return 'current'
    const lastAt = writtenAt.get(record.model)
    if (lastAt !== undefined && clock.now() - lastAt < options.minIntervalMs) return 'later'
    if (!lease.isHeld()) return 'superseded'
    writtenAt.set(record.model, clock.now())
    const written = await platform.put(OBJECT_KINDS.status, toPlacementName(record.model), record, {
      ifRevision: object?.revision ?? 0
    })
    metrics.count('controller.placementWrites')
    if (written.isErr()) {
      if (written.error instanceof PlatformConflict && written.error.current !== null) feed.offer(written.error.current)
      return 'later'
    }
    feed.offer(written.value)
    return 'current'
  }

  return {
    getPublished: () => [...feed.objects(OBJECT_KINDS.status).values()]
      .flatMap((object) => parsePlacement(object) ?? []),
    publish,
    withdraw: async (model, lease) => {
      const object = findObject(model)
      if (object === undefined || !lease.isHeld()) return
      await platform.remove(OBJECT_KINDS.status, object.name, { ifRevision: object.revision })
    }
  }
}

/** Compares placements without their epoch, so that a controller that takes over doesn't rewrite unchanged ones. */
function isSamePlacement (a: PlacementRecord, b: PlacementRecord): boolean {
  return a.version === b.version && a.targets.join() === b.targets.join() && a.sequence >= b.sequence
}
