/** Searches for a slot at another target while the target of a run is silent. */
import type { Result } from 'neverthrow'
import { describeCause, type Log, type RefusalError } from '../../shared'
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
  log: Log
}

export interface SlotSearch {
  /** Aborts once a slot is held, so that the run at the silent target can be given up. */
  found: AbortSignal
  /** Starts to wait for a free slot at another target. */
  start: () => void
  /** Stops waiting, since the target has sent bytes or the run has ended. */
  stop: () => void
  /** Takes over the slot that is held, if any. */
  takeSlot: () => Slot | undefined
}

/**
 * Creates the search. A silent target may be sound and go on, so its run is given up only in exchange for a slot: where
 * all other targets are full, the request stays.
 */
export function createSlotSearch (options: SlotSearchOptions): SlotSearch {
  const { targetId, ended, log } = options
  const found = new AbortController()
  let waiting: AbortController | undefined
  let slot: Slot | undefined

  async function acquire (signal: AbortSignal): Promise<void> {
    const created = options.createQuery(signal)
    if (created.isErr()) {
      log.info({ target: targetId, reason: created.error.reason }, 'request stays at its silent target')
      return
    }
    const query = created.value
    log.info({ req: query.requestId, target: targetId }, 'target is silent: looking for a free slot elsewhere')
    const acquired = await options.slotScheduler.acquire({
      ...query,
      excluded: new Set([...query.excluded, targetId]),
      reusable: undefined,
      isContinuation: true,
      needsFreeSlot: true
    })
    if (acquired.isErr()) {
      if (!signal.aborted) log.info({ req: query.requestId, target: targetId, reason: acquired.error.reason }, 'request stays at its silent target')
      return
    }
    if (signal.aborted || !options.mayMove()) {
      acquired.value.release()
      return
    }
    slot = acquired.value
    found.abort()
  }

  return {
    found: found.signal,
    start: () => {
      waiting = new AbortController()
      acquire(AbortSignal.any([ended, waiting.signal])).catch((cause: unknown) => {
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
