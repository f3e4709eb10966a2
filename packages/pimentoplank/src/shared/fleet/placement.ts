/** Placement of models: which targets serve a model, according to the controller's last report. */
import * as z from 'zod'
import type { ObjectFeed } from '../feed'
import { OBJECT_KINDS } from '../objects'
import type { StoredObject } from '../platform'

const NAME_PREFIX = 'placement.'

/** Placement of one model, stored as an object of the status kind. */
export const placementRecord = z.strictObject({
  model: z.string(),
  version: z.string(),
  /** Ids of the targets that may receive requests for the model. */
  targets: z.array(z.string()),
  /** Sequence number of the configuration that the controller applied. */
  sequence: z.int(),
  /** Epoch of the controller's lease. */
  epoch: z.int()
})
export type PlacementRecord = z.infer<typeof placementRecord>

export interface ModelPlacement {
  /** Returns the targets that serve a model; undefined when the controller has not reported a placement. */
  getServingTargets: (model: string) => ReadonlySet<string> | undefined
  /** Returns the placement record of a model, for the controller and for status. */
  getRecord: (model: string) => PlacementRecord | undefined
  /** Calls the listener after each change; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
}

/** Returns the name of the object that stores the placement of a model. */
export function toPlacementName (model: string): string {
  return NAME_PREFIX + model
}

/** Parses a placement object; undefined when it is invalid or another object of the status kind. */
export function parsePlacement (object: StoredObject): PlacementRecord | undefined {
  if (!object.name.startsWith(NAME_PREFIX)) return undefined
  const parsed = placementRecord.safeParse(object.value)
  return parsed.success ? parsed.data : undefined
}

/** Creates a view of the placement on a feed that includes the status kind. */
export function createModelPlacement (options: { feed: ObjectFeed }): ModelPlacement {
  const { feed } = options
  const cache = new WeakMap<StoredObject, { record?: PlacementRecord, targets: ReadonlySet<string> }>()

  function read (model: string): { record?: PlacementRecord, targets: ReadonlySet<string> } | undefined {
    const object = feed.objects(OBJECT_KINDS.status).get(toPlacementName(model))
    if (object === undefined) return undefined
    let entry = cache.get(object)
    if (entry === undefined) {
      const record = parsePlacement(object)
      entry = { record, targets: new Set(record?.targets) }
      cache.set(object, entry)
    }
    return entry
  }

  return {
    getServingTargets: (model) => {
      const entry = read(model)
      return entry?.record === undefined ? undefined : entry.targets
    },
    getRecord: (model) => read(model)?.record,
    onChange: (listener) => feed.subscribe(OBJECT_KINDS.status, (event) => {
      if (event.name.startsWith(NAME_PREFIX)) listener()
    })
  }
}
