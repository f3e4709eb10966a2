/** Messages of the platform's object API, as docs/reference/platform.md states them. */
import { z } from 'zod'

export const storedObject = z.object({
  kind: z.string(),
  name: z.string(),
  /** Grows with every write to any object. */
  revision: z.int(),
  /** Unique id of the write that made this revision. */
  writeId: z.string(),
  value: z.unknown()
})
export type StoredObject = z.infer<typeof storedObject>

export const objectPage = z.object({
  /** Revision of the store as of which the page is complete. */
  revision: z.int(),
  items: z.array(storedObject),
  /** Name to pass as `after` for the next page; absent on the last. */
  next: z.string().optional()
})
export type ObjectPage = z.infer<typeof objectPage>

export const putReply = z.object({ revision: z.int() })

/** A platform that does not show the object that a write ran into leaves `current` out. */
export const conflictReply = z.object({ current: storedObject.nullable().optional() })

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
  /** True when the store no longer has the events after `since`: list again. */
  compacted: z.boolean().optional()
})
export type WatchBatch = z.infer<typeof watchBatch>

export const INSTANCE_ROLES = ['entry', 'batch', 'controller', 'engine', 'service'] as const
export type InstanceRole = typeof INSTANCE_ROLES[number]

export const instanceRecord = z.object({
  id: z.string(),
  role: z.enum(INSTANCE_ROLES),
  /** Service that a target belongs to; absent for the system's own instances. */
  service: z.string().optional(),
  /** Where callers, or requests to a target, connect: IP number and port. */
  address: z.string(),
  /** Where peers connect; only for the system's own instances. */
  peerAddress: z.string().optional(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  /** True for a target that checks the fencing number of orders. */
  checksFencing: z.boolean().optional()
})
export type InstanceRecord = z.infer<typeof instanceRecord>

export const instanceList = z.object({ instances: z.array(instanceRecord) })
