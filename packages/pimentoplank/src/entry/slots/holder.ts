/** What a home knows about one process that asks it for slots. */
import type { SlotRefusalReason } from '../../shared'
import type { TargetBoard } from './targetBoard'

/** Tells a holder how its tickets stand, over its present stream. */
export interface HolderPort {
  granted: (ticket: number, board: TargetBoard) => void
  queued: (ticket: number, board: TargetBoard) => void
  refused: (ticket: number, reason: SlotRefusalReason, retryAfterMs: number, board?: TargetBoard) => void
  revoked: (ticket: number) => void
}

export interface Holder {
  /** Unique for one run of the holder's process. */
  readonly id: string
  /** Absent while the holder has no stream. */
  port?: HolderPort
  /** Streams of it that have ended; tells whether one ended since. */
  endings: number
  /** Targets of its tickets that wait or hold a slot. */
  readonly tickets: Map<number, TargetBoard>
}
