/** Tells what the end of an item's run says of its target. */
import type { FaultKind } from '../load'
import type { ItemEnd } from './runItem'

/** Returns what a run ended through, other than the item or this instance; undefined for no such fault. */
export function getFaultKind (end: ItemEnd): FaultKind | undefined {
  if (end.type === 'refused') {
    if (end.reason === 'otherProcess') return undefined
    return end.reason === 'connectFailed' ? 'connect' : 'target'
  }
  if (end.type !== 'interrupted' || !end.isBroken) return undefined
  if (end.reason === 'aborted') return 'silence'
  return end.reason === 'spoiled' ? 'target' : 'cut'
}
