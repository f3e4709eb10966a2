/** Upper bounds of any schedule of a load pattern: its mean arrivals as a fluid on the available slots. */
import type { LoadPattern } from './simulation'

export interface Bounds {
  /** Largest share of live requests that can be on time. */
  onTime: number
  /** Largest share of slot time that can be used. */
  utilization: number
}

const TICK_MS = 10
const MS_PER_S = 1000
/** Longest wait for a slot with which a request is still on time, in milliseconds. */
const MAX_WAIT_MS = 240

/** Computes the bounds for the mean of the pattern's arrivals. */
export function computeBounds (pattern: LoadPattern): Bounds {
  const { slots, liveRunMs, batchRunMs, lengthMs } = pattern
  /** Running live requests by the time at which they end. */
  const running: Array<{ endAt: number, count: number }> = []
  /** Waiting live requests by the latest time at which they can start to be on time. */
  let waiting: Array<{ until: number, count: number }> = []
  let batchMs = 0
  let live = 0
  let onTime = 0
  let usedMs = 0
  let slotMs = 0

  for (let now = 0; now < lengthMs; now += TICK_MS) {
    const all = slots * (pattern.targetsAt?.(now) ?? pattern.targets)
    const arrivals = pattern.livePerSecond(now) * TICK_MS / MS_PER_S
    live += arrivals
    waiting.push({ until: now + MAX_WAIT_MS, count: arrivals })
    const inUse = running.filter(({ endAt }) => endAt > now).reduce((sum, { count }) => sum + count, 0)
    let free = Math.max(0, all - inUse)
    for (const entry of waiting) {
      const taken = Math.min(free, entry.count)
      entry.count -= taken
      free -= taken
      onTime += taken
      running.push({ endAt: now + liveRunMs, count: taken })
    }
    waiting = waiting.filter(({ until, count }) => count > 0 && until > now)
    const submitted = pattern.jobs.filter(({ atMs }) => atMs >= now && atMs < now + TICK_MS)
    for (const { items } of submitted) batchMs += items * batchRunMs
    const batchUse = Math.min(free * TICK_MS, batchMs)
    batchMs -= batchUse
    usedMs += Math.min(all, all - free) * TICK_MS + batchUse
    slotMs += all * TICK_MS
  }
  return { onTime: onTime / live, utilization: usedMs / slotMs }
}
