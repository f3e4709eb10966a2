/** State that an owner keeps of one holder: a process that acquires slots from it. */
import type { SlotRefusalReason } from '../../shared'
import type { TargetScheduler } from './targetScheduler'

/** Notifies a holder of changes of its tickets, over its current stream. */
export interface HolderPort {
  granted: (ticket: number, scheduler: TargetScheduler) => void
  queued: (ticket: number, scheduler: TargetScheduler) => void
  refused: (ticket: number, reason: SlotRefusalReason, retryAfterMs: number, scheduler?: TargetScheduler) => void
  revoked: (ticket: number) => void
}

export interface Holder {
  /** Unique to one run of the holder's process. */
  readonly id: string
  /** Absent while the holder is disconnected. */
  port?: HolderPort
  /** Number of its streams that have ended; shows whether it was disconnected again during a grace period. */
  disconnects: number
  /** Schedulers of its tickets that wait for or hold a slot, by ticket. */
  readonly tickets: Map<number, TargetScheduler>
}
