/**
 * What follows the end of a stream that may have more events.
 *
 * Load pattern: as for the ends of answers (`answerEnds.ts`), where the target can be asked for what follows the last
 * event. That takes a slot for a moment, so that full targets may refuse it, and the answer must not wait for ever.
 */
import type { SendFailureReason } from '../exchange'

/** Weight of orderly ends in a row at which no event is left; any of them may have broken off. */
const PROVING_WEIGHT = 4
/** Weight of the end of a run that has written events, and of the first empty one at a target. */
const END_WEIGHT = 2
const EMPTY_END_WEIGHT = 1
/** A target that ends each answer after its head does so for a while; its empty ends count apart, in milliseconds. */
export const EMPTY_END_GAP_MS = 1000
/** Number of times that a target which refuses to tell the rest of a live stream is asked again. */
export const MAX_REST_REFUSALS = 3
/** Number of answers other than a stream after which an item counts as whole, for which nobody waits. */
const MAX_ITEM_REST_REFUSALS = 5
/** Statuses with which a target refuses requests while it has no room, which says nothing of a text. */
const BUSY_STATUSES: ReadonlySet<number | undefined> = new Set([429, 503])
/** Time for which a live stream waits for another target that can be asked, in milliseconds. */
export const REST_WAIT_MS = 500

/** What the ends of the runs of a stream have told of its end. */
export interface OpenEnds {
  /** Weight of the orderly ends in a row after the last event, none of which tells whether more follow. */
  openEnds: number
  /** Target of the latest empty end that counted, and when, unless a run that has written events has ended so. */
  emptyAt?: { target: string, at: number }
}

export interface LiveOpenEnds extends OpenEnds {
  /** True once a request for the rest has broken off, which may be a sign that the stream was cut as well. */
  isRestReset?: boolean
}

/**
 * Adds the end of a run to those in a row after the same event.
 *
 * @param reason - how the run ended; one that broke off leaves none
 * @param target - id of its target
 * @param now - on the monotonic clock, in milliseconds
 */
export function addOpenEnd (
  { openEnds, emptyAt }: OpenEnds, reason: SendFailureReason, target: string, now: number
): OpenEnds {
  if (reason === 'openEnd') return { openEnds: END_WEIGHT, emptyAt: undefined }
  if (reason !== 'emptyEnd') return KEEPING.has(reason) ? { openEnds, emptyAt } : { openEnds: 0, emptyAt: undefined }
  if (hasOrderlyEnd({ openEnds, emptyAt })) return { openEnds: openEnds + EMPTY_END_WEIGHT, emptyAt }
  if (emptyAt?.target !== target) return { openEnds: openEnds + END_WEIGHT, emptyAt: { target, at: now } }
  if (now - emptyAt.at < EMPTY_END_GAP_MS) return { openEnds, emptyAt }
  return { openEnds: openEnds + EMPTY_END_WEIGHT, emptyAt: { target, at: now } }
}

/**
 * Adds the end of a run of a live stream, whose tries are few: the first request for the rest that breaks off takes
 * back what was told of the end, but not the end itself, so that another target can still tell it.
 */
export function addLiveOpenEnd (
  ends: LiveOpenEnds, reason: SendFailureReason, target: string, now: number
): LiveOpenEnds {
  const isFirstReset = reason === 'broken' && hasOrderlyEnd(ends) && ends.isRestReset !== true
  if (isFirstReset) return { openEnds: END_WEIGHT, emptyAt: undefined, isRestReset: true }
  return { ...addOpenEnd(ends, reason, target, now), isRestReset: reason !== 'openEnd' && ends.isRestReset }
}

/** True if a live stream may end as whole although no target has told whether more follows. */
export function mayEndUnproven (ends: LiveOpenEnds): boolean {
  return hasOrderlyEnd(ends) && ends.isRestReset !== true
}

/** True if a run that has written events has ended in an orderly way, and nothing speaks against that end since. */
export function hasOrderlyEnd ({ openEnds, emptyAt }: OpenEnds): boolean {
  return openEnds > 0 && emptyAt === undefined
}

/**
 * Failures to ask for the rest that say nothing about it. A process that has gone since the end, or broke off as it was
 * asked, is a sign that it cut the stream.
 */
const KEEPING: ReadonlySet<SendFailureReason> = new Set([
  'refused', 'peerUnreachable', 'peerLost', 'staleConnection', 'withdrawn', 'aborted', 'noRest', 'unknownProcess'
])

/** True once no event follows. */
export function isEndProven ({ openEnds }: OpenEnds): boolean {
  return openEnds >= PROVING_WEIGHT
}

/** True if a target that did not run the request for the rest of a text could not have told it then. */
export function isBusyRefusal (status: number | undefined): boolean {
  return BUSY_STATUSES.has(status)
}

/**
 * Decides how long an item waits whose targets tell nothing of its rest. Failures come in bursts, so that each answer
 * doubles the wait.
 *
 * @param refusals - number of such answers in a row
 * @param backoffMs - wait after a refusal that says nothing of a text, in milliseconds
 * @returns the time in milliseconds; undefined once the item counts as whole
 */
export function computeRestBackoff (refusals: number, backoffMs: number): number | undefined {
  return refusals > MAX_ITEM_REST_REFUSALS ? undefined : backoffMs * 2 ** refusals
}
