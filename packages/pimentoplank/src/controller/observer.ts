/** Reads the state of every engine, and backs off from those that do not answer. */
import type { Clock, Metrics, Random, Target } from '../shared'
import { SECOND_MS } from '../shared'
import type { EngineControl } from './engineControl'
import type { ObservedEngine } from './plan'

/** An engine that was silent for this long no longer counts as a replica. */
const LOST_AFTER_MS = 10 * SECOND_MS
const FIRST_PAUSE_MS = SECOND_MS
const MAX_PAUSE_MS = 30 * SECOND_MS
const CONCURRENT_READS = 32

export interface EngineObserverOptions {
  engines: EngineControl
  clock: Clock
  random: Random
  metrics: Metrics
}

export interface EngineObserver {
  /** Reads all targets; those that do not answer show as last seen, until they count as lost. */
  observe: (targets: readonly Target[]) => Promise<ObservedEngine[]>
  /** Reads one target now. */
  refresh: (target: Target) => Promise<ObservedEngine | undefined>
  /** Notes that an engine did not take an order. */
  noteFailure: (targetId: string) => void
  /** True while an engine is left alone after failures. */
  isBackedOff: (targetId: string) => boolean
}

/** Creates an observer. */
export function createEngineObserver (options: EngineObserverOptions): EngineObserver {
  const { engines, clock, random, metrics } = options
  const seen = new Map<string, ObservedEngine>()
  /** When an engine first did not answer, since its last answer. */
  const silentSince = new Map<string, number>()
  const failures = new Map<string, { count: number, retryAt: number }>()

  function noteFailure (targetId: string): void {
    const count = (failures.get(targetId)?.count ?? 0) + 1
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (count - 1)) * (0.5 + random() / 2)
    failures.set(targetId, { count, retryAt: clock.now() + pauseMs })
    metrics.count('controller.engineFailures')
  }

  function isBackedOff (targetId: string): boolean {
    return (failures.get(targetId)?.retryAt ?? 0) > clock.now()
  }

  async function refresh (target: Target): Promise<ObservedEngine | undefined> {
    const state = await engines.state(target)
    if (state.isErr()) {
      noteFailure(target.id)
      if (!silentSince.has(target.id)) silentSince.set(target.id, clock.now())
      return undefined
    }
    const engine = { target, state: state.value }
    seen.set(target.id, engine)
    silentSince.delete(target.id)
    return engine
  }

  async function readSome (queue: Target[]): Promise<void> {
    for (let target = queue.shift(); target !== undefined; target = queue.shift()) {
      if (!isBackedOff(target.id)) await refresh(target)
    }
  }

  async function observe (targets: readonly Target[]): Promise<ObservedEngine[]> {
    const queue = [...targets]
    await Promise.all(Array.from({ length: CONCURRENT_READS }, async () => await readSome(queue)))
    return targets.filter(isThere).flatMap((target) => seen.get(target.id) ?? [])
  }

  function isThere ({ id }: Target): boolean {
    const since = silentSince.get(id)
    return since === undefined || clock.now() - since < LOST_AFTER_MS
  }

  return { observe, refresh, noteFailure, isBackedOff }
}
