/** Polls the state of every engine, with backoff for those that do not respond. */
import type { Clock, Metrics, Random, Target } from '../shared'
import { SECOND_MS } from '../shared'
import type { EngineControl } from './engineControl'
import type { ObservedEngine } from './plan'

/** An engine that has not responded for this long no longer counts as a replica. */
const LOST_AFTER_MS = 10 * SECOND_MS
const MIN_BACKOFF_MS = SECOND_MS
const MAX_BACKOFF_MS = 30 * SECOND_MS
const CONCURRENT_READS = 32

export interface EngineObserverOptions {
  engines: EngineControl
  clock: Clock
  random: Random
  metrics: Metrics
}

export interface EngineObserver {
  /** Reads all targets; those that do not respond are returned with their last state, until they count as lost. */
  observe: (targets: readonly Target[]) => Promise<ObservedEngine[]>
  /** Reads one target now. */
  refresh: (target: Target) => Promise<ObservedEngine | undefined>
  /** Records that an engine rejected an order, which starts or extends its backoff. */
  recordFailure: (targetId: string) => void
  /** True while an engine is in backoff after failures. */
  isBackedOff: (targetId: string) => boolean
}

/** Creates an observer that has read no engine yet. */
export function createEngineObserver (options: EngineObserverOptions): EngineObserver {
  const { engines, clock, random, metrics } = options
  const lastObserved = new Map<string, ObservedEngine>()
  /** Time of the first failed read since the last successful one, by target. */
  const unresponsiveSince = new Map<string, number>()
  const failures = new Map<string, { count: number, retryAt: number }>()

  function recordFailure (targetId: string): void {
    const count = (failures.get(targetId)?.count ?? 0) + 1
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (count - 1)) * (0.5 + random() / 2)
    failures.set(targetId, { count, retryAt: clock.now() + backoffMs })
    metrics.count('controller.engineFailures')
  }

  function isBackedOff (targetId: string): boolean {
    return (failures.get(targetId)?.retryAt ?? 0) > clock.now()
  }

  async function refresh (target: Target): Promise<ObservedEngine | undefined> {
    const state = await engines.getState(target)
    if (state.isErr()) {
      recordFailure(target.id)
      if (!unresponsiveSince.has(target.id)) unresponsiveSince.set(target.id, clock.now())
      return undefined
    }
    const engine = { target, state: state.value }
    lastObserved.set(target.id, engine)
    unresponsiveSince.delete(target.id)
    return engine
  }

  async function readQueue (queue: Target[]): Promise<void> {
    for (let target = queue.shift(); target !== undefined; target = queue.shift()) {
      if (!isBackedOff(target.id)) await refresh(target)
    }
  }

  async function observe (targets: readonly Target[]): Promise<ObservedEngine[]> {
    const queue = [...targets]
    await Promise.all(Array.from({ length: CONCURRENT_READS }, async () => await readQueue(queue)))
    return targets.filter(isNotLost).flatMap((target) => lastObserved.get(target.id) ?? [])
  }

  function isNotLost ({ id }: Target): boolean {
    const since = unresponsiveSince.get(id)
    return since === undefined || clock.now() - since < LOST_AFTER_MS
  }

  return { observe, refresh, recordFailure, isBackedOff }
}
