/** Follows platform objects with few watches: most instances receive changes through peers. */
import type { StoredObject, WatchEvent } from '../platform'
import type { MemberAsk, MemberSign, MemberState } from '../rpc'

export interface ObjectFeed {
  /** Returns the newest known objects of a followed kind, by name. */
  objects: (kind: string) => ReadonlyMap<string, StoredObject>
  /** Returns the store revision up to which a kind is known, -1 before the first read; it never decreases. */
  revision: (kind: string) => number
  /** Calls the listener for each change, in order of revision for one object; returns a function that unsubscribes. */
  subscribe: (kind: string, listener: (event: WatchEvent) => void) => () => void
  /** Merges an object that this instance wrote or read directly, before the feed delivers it. */
  offer: (object: StoredObject) => void
  /** Resolves when every followed kind has been read once, from the platform or a peer. */
  ready: () => Promise<void>
  close: () => Promise<void>
}

/** Membership state that polls carry beside objects. */
export interface MemberExchange {
  /**
   * Describes what this instance knows, for a poll of a peer.
   *
   * @param signsToken - version token of the notices last received from that peer
   */
  buildQuery: (signsToken: string) => MemberAsk
  /** Builds the response to a peer; `isNews` is true when it contains anything that the peer does not know. */
  buildResponse: (query: MemberAsk | undefined) => { state: MemberState, isNews: boolean }
  /** Merges the membership state that a peer sent in response to a poll. */
  merge: (state: MemberState) => void
  /** Merges notices that a peer pushed. */
  mergeNotices: (notices: readonly MemberSign[]) => void
  /** Calls the listener when there are updates for peers; returns a function that unsubscribes. */
  onUpdate: (listener: () => void) => () => void
  /** Calls the listener with notices that this instance issued; returns a function that unsubscribes. */
  onOwnNotices: (listener: (notices: readonly MemberSign[]) => unknown) => () => void
}
