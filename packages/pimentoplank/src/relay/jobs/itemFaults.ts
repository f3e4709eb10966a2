/** Tells what the end of an item's run says of its target. */
import type { SendFailureReason } from '../exchange'
import type { FaultKind } from '../load'
import type { ItemEnd } from './runItem'

/** Failures that say nothing about the target itself. */
const OTHER_FAULTS: ReadonlySet<SendFailureReason> = new Set([
  'otherProcess', 'unknownProcess', 'withdrawn', 'peerUnreachable', 'peerLost', 'openEnd', 'emptyEnd', 'noRest'
])

/** Returns what a run ended through, other than the item, this instance or a peer; undefined for no such fault. */
export function getFaultKind (end: ItemEnd): FaultKind | undefined {
  if (end.type === 'refused') {
    if (end.reason !== undefined && OTHER_FAULTS.has(end.reason)) return undefined
    return end.reason === 'connectFailed' ? 'connect' : 'target'
  }
  if (end.type !== 'interrupted' || !end.isBroken || OTHER_FAULTS.has(end.reason)) return undefined
  if (end.reason === 'aborted') return 'silence'
  return end.reason === 'spoiled' ? 'target' : 'cut'
}
