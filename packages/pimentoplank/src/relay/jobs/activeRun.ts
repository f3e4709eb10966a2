/** A run of an item that has not ended yet. */
import type { RunningItem } from '../decisions'
import type { Target } from '../model'
import type { ReadyItem } from './readyItems'

export interface ActiveRun extends RunningItem {
  /** Address of the target. */
  address: string
  /** When the process of the target's entry started, in milliseconds by its own clock; undefined if that is unknown. */
  startedAt?: number
  /** On the monotonic clock, in milliseconds. */
  sentAt: number
  stop: AbortController
  done: Promise<void>
  ready: ReadyItem
  /** Body of the item, where it was read for this run. */
  body?: string
  /** True while the target sends no events. */
  isSilent: boolean
  /** Target on which a slot is held for the item while its run at a silent target ends. */
  next?: Target
}
