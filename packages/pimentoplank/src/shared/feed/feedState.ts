/** State of all followed kinds, their listeners, and a notifier for the next change. */
import type { StoredObject, WatchEvent } from '../platform'
import { createKindState, UNREAD_CURSOR, type KindChanges, type KindState } from './kindState'
import { createNotifier, type Notifier } from './notifier'

export type FeedListener = (event: WatchEvent) => void

export interface FeedState {
  kinds: readonly string[]
  kind: (kind: string) => KindState
  subscribe: (kind: string, listener: FeedListener) => () => void
  offer: (object: StoredObject) => void
  /** Merges changes; returns false when they are older than the known state. */
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

  function getState (kind: string): KindState {
    const state = states.get(kind)
    if (state === undefined) throw new Error(`expected a followed kind, got ${kind}`)
    return state
  }

  function emit (kind: string, events: readonly WatchEvent[]): void {
    for (const event of events) {
      for (const listener of listeners.get(kind) ?? []) listener(event)
    }
  }

  return {
    kinds,
    kind: getState,
    subscribe: (kind, listener) => {
      getState(kind)
      listeners.get(kind)!.add(listener)
      return () => { listeners.get(kind)!.delete(listener) }
    },
    offer: (object) => {
      const event = states.get(object.kind)?.offer(object)
      if (event !== undefined) emit(object.kind, [event])
    },
    merge: (kind, changes) => {
      const state = getState(kind)
      const before = state.getCursor()
      const newEvents = state.merge(changes)
      if (newEvents === undefined) return false
      emit(kind, newEvents)
      if (newEvents.length > 0 || before === UNREAD_CURSOR) changed.notify()
      return true
    },
    isComplete: () => kinds.every((kind) => getState(kind).getCursor() !== UNREAD_CURSOR),
    changed
  }
}
