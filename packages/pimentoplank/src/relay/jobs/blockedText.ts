/** Drops the text of items that no target can go on with. */
import type { Clock, Log, Metrics } from '../../shared'
import {
  countRoom, decideItemVersion, type BatchCandidate, type ItemVersionDecision, type ItemVersionRules
} from '../decisions'
import type { ItemTimeEstimator } from './itemTimeEstimator'
import { createEmptyText } from './ownedJob'
import type { ReadyItem } from './readyItems'

export interface BlockedTextOptions {
  /** Targets of the item's service. */
  candidates: readonly BatchCandidate[]
  /** Counts the usable targets of a service. */
  countTargets: (service: string) => number
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
  const { owned, itemId, progress } = item
  const { lastEventId, version, service, blockedSince } = progress
  if (lastEventId === undefined) return false
  const decision = service === item.service
    ? decide(item, lastEventId, options)
    : { type: 'beginAnew' as const, reason: 'serviceChanged' }
  if (decision.type === 'goOn') return false
  const now = options.clock.now()
  options.log.info({
    job: owned.id,
    item: itemId,
    version,
    service,
    lastEvent: lastEventId,
    reason: decision.reason,
    waitedMs: Math.round(now - (blockedSince ?? now))
  }, 'item begins anew')
  options.metrics.count(`items.begunAnew.${decision.reason}`)
  Object.assign(progress, createEmptyText())
  return true
}

function decide (item: ReadyItem, lastEventId: number, options: BlockedTextOptions): ItemVersionDecision {
  const { candidates, liveReserve, pace, rules, clock } = options
  const { owned, progress, route, service } = item
  const { version } = progress
  const now = clock.now()
  const same = candidates.filter((target) => target.version === version)
  const others = candidates.filter((target) => target.version !== version)
  const hasRoom = countRoom(same) > 0
  const hasOtherRoom = countRoom(others) > liveReserve
  // Room at the version that others get ends no wait.
  progress.blockedSince = hasOtherRoom ? progress.blockedSince ?? now : undefined
  const elsewhere = candidates.length > 0
    ? []
    : route.services.filter((one) => one.service !== service && one.weight > 0)
  return decideItemVersion({
    sameVersion: same.length,
    otherVersions: others.length + elsewhere.reduce((sum, one) => sum + options.countTargets(one.service), 0),
    hasRoom,
    hasOtherRoom,
    waitedMs: now - (progress.blockedSince ?? now),
    dueInMs: owned.dueAt - now,
    wholeMs: pace.estimateRemainingMs(0),
    restMs: pace.estimateRemainingMs(lastEventId)
  }, rules)
}
