/**
 * Whether an item whose text was begun at one software version goes on there or begins anew at another one.
 *
 * Load pattern: two versions serve side by side, and one of them has few slots. Its items would wait for long while
 * targets of the other version are idle.
 */

export interface ItemVersionRules {
  /** Longest wait for a target of the version while others have room, in milliseconds. */
  maxVersionWaitMs: number
}

export interface ItemVersionInput {
  /** Number of usable targets of the version that wrote the text; 0 when the version is not known. */
  sameVersion: number
  /** Number of usable targets of other versions. */
  otherVersions: number
  /** True when a target of the version has room for the item. */
  hasRoom: boolean
  /** True when a target of another version has room that live requests don't need. */
  hasOtherRoom: boolean
  /** Time for which the item has waited while targets of other versions had room, in milliseconds. */
  waitedMs: number
  /** Time until the item is due, in milliseconds; negative when it is late. */
  dueInMs: number
  /** Estimated time that the whole item takes, in milliseconds; 0 when it is not known. */
  wholeMs: number
  /** Estimated time that the rest of the item takes, in milliseconds. */
  restMs: number
}

export type ItemVersionDecision =
  | { type: 'goOn' }
  | { type: 'beginAnew', reason: 'versionGone' | 'versionCrowded' | 'dueSoon' }

/** The last moment at which an item that begins anew is done when due is met up to this time before it. */
const LAST_MOMENT_MS = 500
/** An item waits for its version at least for this time, in milliseconds; slots become free all the time. */
const MIN_WAIT_MS = 100

/** An item waits for its version no longer than it takes to write the lost part of its text again. */
export function decideItemVersion (input: ItemVersionInput, rules: ItemVersionRules): ItemVersionDecision {
  const { waitedMs, wholeMs, restMs } = input
  if (input.sameVersion === 0) {
    return input.otherVersions === 0 ? { type: 'goOn' } : { type: 'beginAnew', reason: 'versionGone' }
  }
  if (input.hasRoom || !input.hasOtherRoom) return { type: 'goOn' }
  const lostMs = wholeMs > 0 ? wholeMs - restMs : Infinity
  if (waitedMs >= Math.min(rules.maxVersionWaitMs, Math.max(MIN_WAIT_MS, lostMs))) {
    return { type: 'beginAnew', reason: 'versionCrowded' }
  }
  const spareMs = input.dueInMs - wholeMs
  const isLastMoment = wholeMs > 0 && spareMs >= 0 && spareMs < LAST_MOMENT_MS && waitedMs >= MIN_WAIT_MS
  return isLastMoment ? { type: 'beginAnew', reason: 'dueSoon' } : { type: 'goOn' }
}
