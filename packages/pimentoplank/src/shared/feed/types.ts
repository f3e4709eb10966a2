/** Follows objects of the platform with few watches, through peers where that is cheaper. */
import type { StoredObject, WatchEvent } from '../platform'
import type { MemberAsk, MemberSign, MemberState } from '../rpc'

export interface ObjectFeed {
  /** Newest known objects of a followed kind, by name. */
  objects: (kind: string) => ReadonlyMap<string, StoredObject>
  /** Store revision up to which this instance has seen a kind, -1 before the first read; it only grows. */
  revision: (kind: string) => number
  /** Calls the listener for each change, in order of revision for one object; returns the way to stop. */
  subscribe: (kind: string, listener: (event: WatchEvent) => void) => () => void
  /** Takes in an object that this instance wrote or read itself, ahead of the feed. */
  offer: (object: StoredObject) => void
  /** Resolves when every followed kind has been read once, from the platform or a peer. */
  ready: () => Promise<void>
  close: () => Promise<void>
}

/** What the feed passes on about members, beside objects. */
export interface MemberExchange {
  /**
   * What this instance knows, for the question to a peer.
   *
   * @param signsToken - token of the signs last taken from that peer
   */
  ask: (signsToken: string) => MemberAsk
  /** Answers a peer; `isNews` tells whether it holds anything that the peer does not know. */
  answer: (ask: MemberAsk | undefined) => { state: MemberState, isNews: boolean }
  merge: (state: MemberState) => void
  mergeSigns: (signs: readonly MemberSign[]) => void
  /** Calls the listener when there is something new for peers; returns the way to stop. */
  onNews: (listener: () => void) => () => void
  /** Calls the listener with signs that this instance saw first; returns the way to stop. */
  onOwnSigns: (listener: (signs: readonly MemberSign[]) => unknown) => () => void
}
