/** Tracks the targets that refuse items because their process is not known; live requests may be served there. */
import { LRUCache } from 'lru-cache'
import type { Clock, Log, Metrics } from '../../shared'
import { addIdentifyFailure, countProbes, endsIdentifyBackoff, type IdentifyFailures } from '../decisions'
import type { Target } from '../model'
import type { ActiveRun } from './activeRun'

type ListedProcess = Pick<Target, 'id' | 'startedAt'>
type SentRun = Pick<ActiveRun, 'target' | 'startedAt' | 'sentAt'>

export interface UnidentifiedTargetsOptions {
  /** The runs that have not ended yet. */
  running: ReadonlySet<ActiveRun>
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface UnidentifiedTargets {
  /** Records that a run was refused since it was not known which process answers. */
  recordRefusal: (run: SentRun) => void
  /** Records that the answer of a run has begun. */
  recordAnswer: (run: SentRun) => void
  /** Returns how many items may start at a target as probes; undefined if items are not held back from it. */
  countProbes: (target: ListedProcess) => number | undefined
}

interface TargetFailures extends IdentifyFailures {
  /** Start of the process that the entry named; a later process is tried anew. */
  startedAt?: number
}

const MAX_TRACKED_TARGETS = 10_000

/** Creates the tracker of an instance. */
export function createUnidentifiedTargets (
  { running, clock, metrics, log }: UnidentifiedTargetsOptions
): UnidentifiedTargets {
  const failures = new LRUCache<string, TargetFailures>({ max: MAX_TRACKED_TARGETS })

  function find ({ id, startedAt }: ListedProcess): TargetFailures | undefined {
    const found = failures.get(id)
    return found?.startedAt === startedAt ? found : undefined
  }

  function recordRefusal ({ target, startedAt, sentAt }: SentRun): void {
    const now = clock.now()
    const before = find({ id: target, startedAt })
    const next = addIdentifyFailure(before, sentAt, now)
    if (next === before) return
    failures.set(target, { ...next, startedAt })
    metrics.count('items.unidentifiedTargets')
    log.info({ target, refusals: next.count, forMs: Math.round(next.until - now) }, 'items avoid a target whose process is not known')
  }

  function recordAnswer ({ target, startedAt, sentAt }: SentRun): void {
    const found = find({ id: target, startedAt })
    if (found === undefined || !endsIdentifyBackoff(found, sentAt)) return
    failures.delete(target)
    log.info({ target, refusals: found.count }, 'items return to a target whose process is known again')
  }

  return {
    recordRefusal,
    recordAnswer,
    countProbes: (target) => {
      const found = find(target)
      if (found === undefined) return undefined
      const hasUnanswered = [...running].some((run) => run.target === target.id && !run.hasStarted)
      return countProbes(found, hasUnanswered, clock.now())
    }
  }
}
