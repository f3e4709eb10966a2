/** Fills the free slots: with live requests that wait, then with items of jobs. */
import type { ItemRunner } from './jobs'
import type { SlotScheduler } from './live'

export interface Dispatcher {
  dispatchAll: () => void
  /** Dispatches soon, but not once for each of several changes. */
  scheduleDispatch: () => void
}

/** Creates the dispatcher of an instance. */
export function createDispatcher (
  slotScheduler: Pick<SlotScheduler, 'dispatch'>,
  runner: Pick<ItemRunner, 'dispatch' | 'yieldExcess'>
): Dispatcher {
  let isDispatchScheduled = false

  function scheduleDispatch (): void {
    if (isDispatchScheduled) return
    isDispatchScheduled = true
    setImmediate(() => {
      isDispatchScheduled = false
      dispatchAll()
    })
  }

  function dispatchAll (): void {
    slotScheduler.dispatch()
    runner.yieldExcess()
    runner.dispatch()
  }

  return { dispatchAll, scheduleDispatch }
}
