/** Checks whether the processes of targets have gone whose connections broke as a request began. */
import { LRUCache } from 'lru-cache'
import { describeCause, type Clock, type Log, type Metrics } from '../../shared'
import { decideProcessFate, type ProcessView } from '../decisions'
import type { Target } from '../model'

/** What is known of the target of a request when it was sent. */
export type CheckedTarget = Pick<Target, 'id' | 'address' | 'startedAt'>

export interface CrashChecksOptions {
  viewProcess: (address: string) => Promise<ProcessView[]>
  /** Returns the current entry of a target. */
  getTarget: (id: string) => CheckedTarget | undefined
  /** Aborts once this instance has closed; checks that go on then resolve to `unknown`. */
  closed: AbortSignal
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface CrashChecks {
  check: (target: CheckedTarget) => Promise<BreakCause>
}

/**
 * `crashed`: the process of the target is known to have gone. `closed`: it goes on and answers this instance directly,
 * so that it has closed the connection by itself. `unknown`: it goes on elsewhere, or can't be seen.
 */
export type BreakCause = 'crashed' | 'closed' | 'unknown'

interface Check {
  target: CheckedTarget
  /** Starts that are known of the process. */
  starts: number[]
  /** On the monotonic clock, in milliseconds. */
  askedAt: number
  resolve: (cause: BreakCause) => void
}

/** Time for which a process is looked for that can't be seen, in milliseconds; a new one takes seconds to start. */
const CHECK_FOR_MS = 10_000
/** Pause before the second look, in milliseconds; it doubles with each further one. */
const FIRST_PAUSE_MS = 50
const MAX_PAUSE_MS = 400
/** Maximum of targets that are checked at once; where more break off, another cause is at work. */
const MAX_TARGETS = 64
/** Maximum of addresses whose latest process is remembered; the least recently seen are evicted. */
const MAX_STARTS = 10_000

/** Creates the checks of an instance. */
export function createCrashChecks (options: CrashChecksOptions): CrashChecks {
  const { closed, clock, metrics, log } = options
  const lastStarts = new LRUCache<string, number>({ max: MAX_STARTS })
  const waiting = new Map<string, Check[]>()

  function recordStart (address: string, view: ProcessView): void {
    if (view.type === 'process' && view.startedAt !== undefined) lastStarts.set(address, view.startedAt)
  }

  /** A call that began before a connection broke says nothing of it, so that later checks wait for the next look. */
  async function checkAddress (address: string): Promise<void> {
    for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS)) {
      const checks = waiting.get(address)!
      waiting.set(address, [])
      const views = await options.viewProcess(address)
      for (const view of views) recordStart(address, view)
      const open = checks.filter((check) => !settle(check, views))
      const left = [...open, ...waiting.get(address)!]
      waiting.set(address, left)
      if (left.length === 0) break
      if (open.length > 0) await clock.sleep(pauseMs, closed)
      else pauseMs = FIRST_PAUSE_MS
    }
    waiting.delete(address)
  }

  function settle ({ target, starts, askedAt, resolve }: Check, views: readonly ProcessView[]): boolean {
    const listed = options.getTarget(target.id)?.startedAt
    const isReplaced = listed !== undefined && target.startedAt !== undefined && listed > target.startedAt
    const fate = isReplaced ? 'gone' : decideProcessFate(views, starts)
    const afterMs = Math.round(clock.now() - askedAt)
    if (fate === 'unclear' && afterMs < CHECK_FOR_MS && !closed.aborted) return false
    metrics.count(`crashes.${fate}`)
    if (fate !== 'gone') log.info({ target: target.id, fate, afterMs }, 'connection broke as a request began: not known as a crash')
    const isSeenDirectly = views.some((view) => view.type === 'process' && view.isDirect === true)
    resolve(fate === 'gone' ? 'crashed' : isSeenDirectly ? 'closed' : 'unknown')
    return true
  }

  return {
    check: async (target) => {
      const { address, startedAt } = target
      const starts = [startedAt, lastStarts.get(address)].filter((start) => start !== undefined)
      const checks = waiting.get(address)
      if (checks === undefined && waiting.size >= MAX_TARGETS) {
        metrics.count('crashes.unchecked')
        log.warn({ target: target.id, targets: waiting.size }, 'too many targets to check for crashes')
        return 'unknown'
      }
      return await new Promise((resolve) => {
        const check = { target, starts, askedAt: clock.now(), resolve }
        if (checks !== undefined) checks.push(check)
        else {
          waiting.set(address, [check])
          checkAddress(address).catch((cause: unknown) => {
            log.error({ address, cause: describeCause(cause) }, 'target could not be checked for a crash')
            for (const one of waiting.get(address) ?? []) one.resolve('unknown')
            waiting.delete(address)
          })
        }
      })
    }
  }
}
