/** Schemas of the platform's object API, as specified in docs/reference/platform.md. */
import * as z from 'zod'

export const storedObject = z.object({
  kind: z.string(),
  name: z.string(),
  /** Revision of the store after the last write to this object; every write to any object increases it. */
  revision: z.int(),
  /** Unique id of the write that created this revision. */
  writeId: z.string(),
  value: z.unknown()
})
export type StoredObject = z.infer<typeof storedObject>

export const objectPage = z.object({
  /** Revision of the store that the page reflects completely. */
  revision: z.int(),
  items: z.array(storedObject),
  /** Name to pass as `after` for the next page; absent on the last. */
  next: z.string().optional()
})
export type ObjectPage = z.infer<typeof objectPage>

export const putResponse = z.object({ revision: z.int() })

/** Body of a failed conditional write; some platforms omit `current`, the object that is stored instead. */
export const conflictResponse = z.object({ current: storedObject.nullable().optional() })

export const watchEvent = z.object({
  type: z.enum(['put', 'remove']),
  name: z.string(),
  revision: z.int(),
  /** Absent for a removal. */
  object: storedObject.optional()
})
export type WatchEvent = z.infer<typeof watchEvent>

export const watchBatch = z.object({
  /** Pass as `since` of the next call. */
  revision: z.int(),
  events: z.array(watchEvent),
  /** True when the store has discarded events after `since`, so that the kind must be listed again. */
  compacted: z.boolean().optional()
})
export type WatchBatch = z.infer<typeof watchBatch>

export const INSTANCE_ROLES = ['entry', 'batch', 'controller', 'engine', 'service'] as const
export type InstanceRole = typeof INSTANCE_ROLES[number]

export const instanceRecord = z.object({
  id: z.string(),
  role: z.enum(INSTANCE_ROLES),
  /** Service that a target belongs to; absent for instances of this system. */
  service: z.string().optional(),
  /** IP address and port for callers or, on a target, for requests. */
  address: z.string(),
  /** IP address and port for peers; only for instances of this system. */
  peerAddress: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  /** True for a target that rejects orders with an outdated fencing number. */
  checksFencing: z.boolean().optional(),
  /**
   * Version of the software that a target runs, not of its models. Targets of several versions can't continue each
   * other's streams; those without one count as one version.
   */
  softwareVersion: z.string().min(1).optional()
})
export type InstanceRecord = z.infer<typeof instanceRecord>

/** Other writers may have left entries that are no records; each is read by itself. */
export const instanceList = z.object({ instances: z.array(z.unknown()) })

/** Returns the records among the entries of an instance list; calls `onInvalid` for each entry that is none. */
export function selectRecords (entries: readonly unknown[], onInvalid: () => void): InstanceRecord[] {
  return entries.flatMap((entry) => {
    const record = instanceRecord.safeParse(entry)
    if (!record.success) onInvalid()
    return record.success ? [record.data] : []
  })
}
