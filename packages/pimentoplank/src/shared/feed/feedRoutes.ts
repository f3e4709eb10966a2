/** Serves the change feed to peers: answers their long polls from the local state. */
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect'
import type { Clock } from '../clock'
import {
  FeedService, PollResponseSchema, TellResponseSchema,
  type KindUpdate, type PollRequest, type PollResponse, type TellRequest, type TellResponse
} from '../rpc'
import { encodeChanges } from './codec'
import type { FeedState } from './feedState'
import type { Freshness } from './freshness'
import { UNREAD_CURSOR } from './kindState'
import type { Notifier } from './notifier'
import type { MemberExchange } from './types'

/** Upper limit for the wait that a peer may request for a long poll, in milliseconds. */
const MAX_WAIT_MS = 30_000

export interface FeedRoutesOptions {
  state: FeedState
  members: MemberExchange
  /** Fires after each change of objects or members. */
  changed: Notifier
  freshness: Freshness
  clock: Clock
  closed: AbortSignal
}

/** Creates the function that registers the feed service on a router. */
export function createFeedRoutes (options: FeedRoutesOptions): (router: ConnectRouter) => void {
  const { state, members, changed, freshness, clock, closed } = options

  function readUpdates (req: PollRequest): KindUpdate[] {
    const cursors = new Map(req.cursors.map((cursor) => [cursor.kind, Number(cursor.revision)]))
    const updates: KindUpdate[] = []
    for (const kind of state.kinds) {
      const after = cursors.get(kind) ?? UNREAD_CURSOR
      const kindState = state.kind(kind)
      if (kindState.getCursor() <= after) continue
      const changes = kindState.getChangesSince(after)
      if (changes.full || changes.events.length > 0) updates.push(encodeChanges(kind, changes))
    }
    return updates
  }

  /** Returns the cursors of kinds without changes, so that the peer's cursor for them does not fall behind. */
  function readCursors (updates: readonly KindUpdate[]): KindUpdate[] {
    const sent = new Set(updates.map((update) => update.kind))
    return state.kinds
      .filter((kind) => !sent.has(kind) && state.kind(kind).getCursor() !== UNREAD_CURSOR)
      .map((kind) => encodeChanges(kind, { revision: state.kind(kind).getCursor(), full: false, events: [] }))
  }

  async function poll (req: PollRequest, context: HandlerContext): Promise<PollResponse> {
    const until = clock.now() + Math.min(req.waitMs, MAX_WAIT_MS)
    const endSignal = AbortSignal.any([context.signal, closed])
    for (;;) {
      const updates = readUpdates(req)
      const { state: memberState, isNews: hasMemberUpdates } = members.buildResponse(req.members)
      const hasEnded = clock.now() >= until || endSignal.aborted
      if (updates.length > 0 || hasMemberUpdates || hasEnded) {
        return create(PollResponseSchema, {
          updates: [...updates, ...readCursors(updates)],
          platformAgeMs: freshness.ageMs(),
          members: memberState
        })
      }
      await waitForChange(until - clock.now(), endSignal)
    }
  }

  async function waitForChange (waitMs: number, endSignal: AbortSignal): Promise<void> {
    const done = new AbortController()
    const signal = AbortSignal.any([endSignal, done.signal])
    await Promise.race([changed.next(signal), clock.sleep(waitMs, signal)])
    done.abort()
  }

  async function tell (req: TellRequest): Promise<TellResponse> {
    members.mergeNotices(req.signs)
    return create(TellResponseSchema)
  }

  return (router) => { router.service(FeedService, { poll, tell }) }
}
