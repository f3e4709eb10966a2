/** Which targets have a model ready, as the controller last saw it. */
import { z } from 'zod'
import type { ObjectFeed } from '../feed'
import { OBJECT_KINDS } from '../objects'
import type { StoredObject } from '../platform'

const NAME_PREFIX = 'placement.'

/** Where one model is served; an object of the status kind. */
export const placementRecord = z.strictObject({
  model: z.string(),
  version: z.string(),
  /** Ids of the targets that may get work for the model. */
  targets: z.array(z.string()),
  /** Sequence number of the configuration that the controller followed. */
  sequence: z.int(),
  /** Epoch of the controller's lease. */
  epoch: z.int()
})
export type PlacementRecord = z.infer<typeof placementRecord>

export interface ModelPlacement {
  /** Targets that serve a model; undefined when the controller has said nothing about it. */
  targetsServing: (model: string) => ReadonlySet<string> | undefined
  /** Record of a model, for the controller and for status. */
  record: (model: string) => PlacementRecord | undefined
  /** Calls the listener after each change; returns the way to stop. */
  onChange: (listener: () => void) => () => void
}

/** Name of the object that says where a model is served. */
export function placementName (model: string): string {
  return NAME_PREFIX + model
}

/** Reads a placement from its object; undefined for another object of the status kind. */
export function parsePlacement (object: StoredObject): PlacementRecord | undefined {
  if (!object.name.startsWith(NAME_PREFIX)) return undefined
  const parsed = placementRecord.safeParse(object.value)
  return parsed.success ? parsed.data : undefined
}

/** Follows the placement through a feed that follows the status kind. */
export function createModelPlacement (options: { feed: ObjectFeed }): ModelPlacement {
  const { feed } = options
  const parsed = new WeakMap<StoredObject, { record?: PlacementRecord, targets: ReadonlySet<string> }>()

  function read (model: string): { record?: PlacementRecord, targets: ReadonlySet<string> } | undefined {
    const object = feed.objects(OBJECT_KINDS.status).get(placementName(model))
    if (object === undefined) return undefined
    let entry = parsed.get(object)
    if (entry === undefined) {
      const record = parsePlacement(object)
      entry = { record, targets: new Set(record?.targets) }
      parsed.set(object, entry)
    }
    return entry
  }

  return {
    targetsServing: (model) => {
      const entry = read(model)
      return entry?.record === undefined ? undefined : entry.targets
    },
    record: (model) => read(model)?.record,
    onChange: (listener) => feed.subscribe(OBJECT_KINDS.status, (event) => {
      if (event.name.startsWith(NAME_PREFIX)) listener()
    })
  }
}
