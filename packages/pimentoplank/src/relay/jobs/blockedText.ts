/** Drops the text of items that no target can go on with. */
import type { Clock, Log, Metrics } from '../../shared'
import { countRoom, decideItemVersion, type BatchCandidate, type ItemVersionRules } from '../decisions'
import type { ItemTimeEstimator } from './itemTimeEstimator'
import type { ReadyItem } from './readyItems'

export interface BlockedTextOptions {
  /** Targets of the item's service. */
  candidates: readonly BatchCandidate[]
  /** Slots reserved for live requests, summed over all targets. */
  liveReserve: number
  pace: ItemTimeEstimator
  rules: ItemVersionRules
  clock: Clock
  metrics: Metrics
  log: Log
}

/**
 * Lets a waiting item begin anew when no target can go on with its text, or not soon enough; returns true if so. That
 * is no failed run of the item.
 */
export function dropBlockedText (item: ReadyItem, options: BlockedTextOptions): boolean {
  const { candidates, liveReserve, pace, rules, clock, metrics, log } = options
  const { owned, itemId, progress } = item
  const { lastEventId, version } = progress
  if (lastEventId === undefined) return false
  const now = clock.now()
  const same = candidates.filter((target) => target.version === version)
  const others = candidates.filter((target) => target.version !== version)
  const hasRoom = countRoom(same) > 0
  const hasOtherRoom = countRoom(others) > liveReserve
  // Room at the version that others get ends no wait.
  progress.blockedSince = hasOtherRoom ? progress.blockedSince ?? now : undefined
  const waitedMs = now - (progress.blockedSince ?? now)
  const decision = decideItemVersion({
    sameVersion: same.length,
    otherVersions: others.length,
    hasRoom,
    hasOtherRoom,
    waitedMs,
    dueInMs: owned.dueAt - now,
    wholeMs: pace.estimateRemainingMs(0),
    restMs: pace.estimateRemainingMs(lastEventId)
  }, rules)
  if (decision.type === 'goOn') return false
  log.info({
    job: owned.id,
    item: itemId,
    version,
    lastEvent: lastEventId,
    reason: decision.reason,
    waitedMs: Math.round(waitedMs)
  }, 'item begins anew')
  metrics.count(`items.begunAnew.${decision.reason}`)
  Object.assign(progress, { lastEventId: undefined, data: [], version: undefined, blockedSince: undefined })
  return true
}
