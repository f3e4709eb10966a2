/** State of all followed kinds, its listeners, and a way to wait for the next change. */
import type { StoredObject, WatchEvent } from '../platform'
import { createKindState, NOTHING_KNOWN, type KindChanges, type KindState } from './kindState'
import { createNotifier, type Notifier } from './notifier'

export type FeedListener = (event: WatchEvent) => void

export interface FeedState {
  kinds: readonly string[]
  kind: (kind: string) => KindState
  subscribe: (kind: string, listener: FeedListener) => () => void
  offer: (object: StoredObject) => void
  /** Takes in changes; returns false when they were older than what is known. */
  merge: (kind: string, changes: KindChanges) => boolean
  /** True when every kind has been read once. */
  isComplete: () => boolean
  /** Fires after each change. */
  changed: Notifier
}

/** Creates the state of a feed. */
export function createFeedState (kinds: readonly string[]): FeedState {
  const states = new Map(kinds.map((kind) => [kind, createKindState(kind)]))
  const listeners = new Map(kinds.map((kind) => [kind, new Set<FeedListener>()]))
  const changed = createNotifier()

  function stateOf (kind: string): KindState {
    const state = states.get(kind)
    if (state === undefined) throw new Error(`kind ${kind} is not followed`)
    return state
  }

  function emit (kind: string, events: readonly WatchEvent[]): void {
    for (const event of events) {
      for (const listener of listeners.get(kind) ?? []) listener(event)
    }
  }

  return {
    kinds,
    kind: stateOf,
    subscribe: (kind, listener) => {
      stateOf(kind)
      listeners.get(kind)!.add(listener)
      return () => { listeners.get(kind)!.delete(listener) }
    },
    offer: (object) => {
      const event = states.get(object.kind)?.offer(object)
      if (event !== undefined) emit(object.kind, [event])
    },
    merge: (kind, changes) => {
      const state = stateOf(kind)
      const before = state.cursor()
      const news = state.merge(changes)
      if (news === undefined) return false
      emit(kind, news)
      if (news.length > 0 || before === NOTHING_KNOWN) changed.notify()
      return true
    },
    isComplete: () => kinds.every((kind) => stateOf(kind).cursor() !== NOTHING_KNOWN),
    changed
  }
}
