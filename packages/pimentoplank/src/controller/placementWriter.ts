/** Publishes where each model is served, on change and at a bounded rate. */
import {
  OBJECT_KINDS, parsePlacement, placementName, PlatformConflict,
  type Clock, type Followers, type Lease, type Metrics, type PlacementRecord, type PlatformClient, type StoredObject
} from '../shared'

export interface PlacementWriterOptions {
  platform: PlatformClient
  followers: Pick<Followers, 'feed'>
  clock: Clock
  metrics: Metrics
  /** Least time between two writes for one model, in milliseconds. */
  everyMs: number
}

export interface PlacementWriter {
  /** Every placement that is published, with its model. */
  published: () => PlacementRecord[]
  /**
   * Publishes a placement.
   *
   * @returns `current` when the platform shows it, `later` when it must be tried again, `superseded` when a newer
   * controller has written
   */
  publish: (record: PlacementRecord, lease: Lease) => Promise<'current' | 'later' | 'superseded'>
  /** Takes back the placement of a model that is gone. */
  withdraw: (model: string, lease: Lease) => Promise<void>
}

/** Creates a writer. */
export function createPlacementWriter (options: PlacementWriterOptions): PlacementWriter {
  const { platform, clock, metrics } = options
  const { feed } = options.followers
  const writtenAt = new Map<string, number>()

  function objectOf (model: string): StoredObject | undefined {
    return feed.objects(OBJECT_KINDS.status).get(placementName(model))
  }

  async function publish (
    record: PlacementRecord,
    lease: Lease
  ): Promise<'current' | 'later' | 'superseded'> {
    const object = objectOf(record.model)
    const known = object === undefined ? undefined : parsePlacement(object)
    if (known !== undefined && known.epoch > lease.epoch()) return 'superseded'
    if (known !== undefined && isSame(known, record)) return 'current'
    const lastAt = writtenAt.get(record.model)
    if (lastAt !== undefined && clock.now() - lastAt < options.everyMs) return 'later'
    if (!lease.isHeld()) return 'superseded'
    writtenAt.set(record.model, clock.now())
    const written = await platform.put(OBJECT_KINDS.status, placementName(record.model), record, {
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
    published: () => [...feed.objects(OBJECT_KINDS.status).values()].flatMap((object) => parsePlacement(object) ?? []),
    publish,
    withdraw: async (model, lease) => {
      const object = objectOf(model)
      if (object === undefined || !lease.isHeld()) return
      await platform.remove(OBJECT_KINDS.status, object.name, { ifRevision: object.revision })
    }
  }
}

/** The epoch alone is no reason to write: a controller that takes over finds the fleet as it is. */
function isSame (a: PlacementRecord, b: PlacementRecord): boolean {
  return a.version === b.version && a.targets.join() === b.targets.join() && a.sequence >= b.sequence
}
