/** Follows objects of the platform with few watches, through peers where that is cheaper. */
import type { StoredObject, WatchEvent } from '../platform'

export interface ObjectFeed {
  /** Newest known objects of a followed kind, by name. */
  objects: (kind: string) => ReadonlyMap<string, StoredObject>
  /** Store revision up to which this instance has seen a kind; it only grows. */
  revision: (kind: string) => number
  /** Calls the listener for each change, in order of revision for one object; returns the way to stop. */
  subscribe: (kind: string, listener: (event: WatchEvent) => void) => () => void
  /** Takes in an object that this instance wrote or read itself, ahead of the feed. */
  offer: (object: StoredObject) => void
  /** Resolves when every followed kind has been read once, from the platform or a peer. */
  ready: () => Promise<void>
  close: () => Promise<void>
}
