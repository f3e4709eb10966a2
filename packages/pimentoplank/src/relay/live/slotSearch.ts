/** Searches for a slot at another target while the target of a run is silent. */
import { err, type Result } from 'neverthrow'
import { describeCause, type Clock, type Log, type RefusalError } from '../../shared'
import type { Slot, SlotQuery, SlotScheduler } from './slotScheduler'

export interface SlotSearchOptions {
  slotScheduler: Pick<SlotScheduler, 'acquire'>
  /** Id of the silent target. */
  targetId: string
  /** Creates the query with which the request is placed. */
  createQuery: (signal: AbortSignal) => Result<SlotQuery, RefusalError>
  /** False when the request must not be sent to another target any more. */
  mayMove: () => boolean
  /** Aborts when the request has ended. */
  ended: AbortSignal
  clock: Clock
  log: Log
}

export interface SlotSearch {
  /** Aborts once a slot is held, so that the run at the silent target can be given up. */
  found: AbortSignal
  /** Starts to wait for a free slot at another target, unless it does already. */
  start: () => void
  /** Stops waiting, since the target has sent bytes or the run has ended. */
  stop: () => void
  /** Takes over the slot that is held, if any. */
  takeSlot: () => Slot | undefined
}

/** Pause before the search is repeated where no other target is registered, in milliseconds. */
const SEARCH_PAUSE_MS = 100

/**
 * Creates the search. A silent target may be sound and go on, so its run is given up only in exchange for a slot: where
 * all other targets are full, the request stays.
 */
export function createSlotSearch (options: SlotSearchOptions): SlotSearch {
  const { targetId, ended, clock, log } = options
  const found = new AbortController()
  let waiting: AbortController | undefined
  let slot: Slot | undefined

  async function search (signal: AbortSignal): Promise<void> {
    let acquired = await acquire(signal)
    if (acquired.isErr() && !signal.aborted) {
      log.info({ target: targetId, reason: acquired.error.reason }, 'request stays at its silent target')
    }
    while (acquired.isErr() && !signal.aborted) {
      await clock.sleep(SEARCH_PAUSE_MS, signal)
      acquired = await acquire(signal)
    }
    if (acquired.isErr()) return
    if (signal.aborted || !options.mayMove()) {
      acquired.value.discard()
      return
    }
    slot = acquired.value
    found.abort()
  }

  async function acquire (signal: AbortSignal): Promise<Result<Slot, RefusalError>> {
    const query = options.createQuery(signal)
    if (query.isErr()) return err(query.error)
    log.info({ req: query.value.requestId, target: targetId }, 'target is silent: looking for a free slot elsewhere')
    return await options.slotScheduler.acquire({
      ...query.value,
      excluded: new Set([...query.value.excluded, targetId]),
      reusable: undefined,
      isContinuation: true,
      needsFreeSlot: true
    })
  }

  return {
    found: found.signal,
    start: () => {
      if (waiting?.signal.aborted === false) return
      waiting = new AbortController()
      search(AbortSignal.any([ended, waiting.signal])).catch((cause: unknown) => {
        log.error({ target: targetId, cause: describeCause(cause) }, 'search for another target failed')
      })
    },
    stop: () => waiting?.abort(),
    takeSlot: () => {
      const taken = slot
      slot = undefined
      return taken
    }
  }
}
