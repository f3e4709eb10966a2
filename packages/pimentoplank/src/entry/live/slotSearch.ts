/** Search for the slots of one live job, away from the targets on which it has failed. */
import type { Result } from 'neverthrow'
import {
  canContinueOn, findOtherVersions,
  type EngineErrorKind, type RefusalError, type RunVersion, type SlotGrant
} from '../../shared'
import type { LiveDeps, LiveJob } from './liveJob'

/** Bounds of the pause before a stream that has begun asks for a slot again, in milliseconds. */
const MIN_PAUSE_MS = 20
const MAX_PAUSE_MS = 250

/** Failures after which a target is tried again once no other is left. */
const TEMPORARY_FAILURES: ReadonlySet<EngineErrorKind> = new Set([
  'connectFailed', 'modelNotLoaded', 'targetBusy', 'streamSilent'
])

export interface SlotSearchOptions {
  job: LiveJob
  deps: Pick<LiveDeps, 'clock' | 'log' | 'membership' | 'quarantine' | 'slots' | 'targetsServing'>
  /** On the clock of `deps`, in milliseconds. */
  deadlineAt: number
}

export interface SlotSearch {
  /**
   * Asks for a slot once, as a new request does.
   *
   * @param without - id of a target that the request still runs on
   */
  acquire: (signal: AbortSignal, without?: string) => Promise<Result<SlotGrant, RefusalError>>
  /**
   * Asks for a slot for a stream that has begun, again and again while a target of its software version is left.
   *
   * @param stream.without - id of a target that the stream still runs on; while it does, the search does not end
   * @param stream.mustGoBack - true when only targets that it has left for their silence may be used
   */
  acquireToContinue: (
    signal: AbortSignal,
    stream: { version: RunVersion, without?: string, mustGoBack?: boolean }
  ) => Promise<Result<SlotGrant, RefusalError>>
  /** Keeps the job away from a target on which it has failed. */
  exclude: (targetId: string, cause: EngineErrorKind | undefined) => void
  /** Keeps the job away from a target that it has left only for its silence, and that may be sound. */
  leaveSilent: (targetId: string) => void
  /** Returns whether a target that the job has left for its silence has not failed since. */
  hasSilentTarget: () => boolean
}

/** Returns the pause before a stream that has begun asks for a slot again, in milliseconds. */
export function computePauseMs (retryAfterMs: number | undefined): number {
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, retryAfterMs ?? 0))
}

export function createSlotSearch ({ job, deps, deadlineAt }: SlotSearchOptions): SlotSearch {
  const { clock, log, membership, quarantine, slots } = deps
  const excluded = new Set<string>()
  /** Targets to be tried again once no other is left. */
  const postponed = new Set<string>()
  /** Targets that were left for their silence and have not failed since. */
  const silentTargets = new Set<string>()

  /** Returns the targets that have not loaded the model; none when its placement is not known from the controller. */
  function findTargetsWithoutModel (): string[] {
    const serving = deps.targetsServing?.(job.model)
    if (serving === undefined || serving.size === 0) return []
    return membership.targets(job.service).map((target) => target.id).filter((id) => !serving.has(id))
  }

  function findUnusable (without: string | undefined): string[] {
    return [...excluded, ...postponed, ...findTargetsWithoutModel(), ...(without === undefined ? [] : [without])]
  }

  async function acquireExcluding (
    unusable: readonly string[],
    begun: boolean,
    signal: AbortSignal
  ): Promise<Result<SlotGrant, RefusalError>> {
    return await slots.acquire({
      service: job.service,
      model: job.model,
      workClass: 'live',
      account: job.account,
      weight: job.weight,
      deadlineMs: Math.max(0, deadlineAt - clock.now()),
      prefixHash: job.prefixHash,
      excluded: unusable,
      begun
    }, { signal })
  }

  /** Acquires a slot on a target without other suspect content, or on any target if there is none. */
  async function acquireAwayFromSuspects (
    unusable: readonly string[],
    begun: boolean,
    signal: AbortSignal
  ): Promise<Result<SlotGrant, RefusalError>> {
    const suspects = quarantine.findTargetsWithSuspects(job.contentHash)
    const grant = await acquireExcluding([...unusable, ...suspects], begun, signal)
    const isFallbackNeeded = suspects.length > 0 && grant.isErr() && grant.error.reason === 'noTarget'
    return isFallbackNeeded ? await acquireExcluding(unusable, begun, signal) : grant
  }

  /** Returns whether a target is left, if need be one of those that were postponed. */
  function hasTargetLeft (findUnfit: () => string[]): boolean {
    const unusable = findUnfit()
    if (membership.targets(job.service).some(({ id }) => !unusable.includes(id))) return true
    const hasPostponed = postponed.size > 0
    postponed.clear()
    return hasPostponed
  }

  async function acquireToContinue (
    signal: AbortSignal,
    { version, without, mustGoBack = false }: { version: RunVersion, without?: string, mustGoBack?: boolean }
  ): Promise<Result<SlotGrant, RefusalError>> {
    const mayUse = (targetId: string): boolean => !mustGoBack || silentTargets.has(targetId)
    const findUnfit = (): string[] => [
      ...findUnusable(without),
      ...findOtherVersions(membership, job.service, version),
      ...membership.targets(job.service).map(({ id }) => id).filter((id) => !mayUse(id))
    ]
    for (;;) {
      const grant = await acquireAwayFromSuspects(findUnfit(), true, signal)
      if (signal.aborted) return grant
      if (grant.isOk()) {
        const { target } = grant.value
        if (mayUse(target.id) && canContinueOn(membership, target, version)) return grant
        // During the wait, the target has joined or has been replaced by one of another version.
        grant.value.release({ result: 'revoked' })
        continue
      }
      if (!hasTargetLeft(findUnfit) && without === undefined) {
        log.info({ req: job.requestId, version, reason: grant.error.reason }, 'begun stream has no target left')
        return grant
      }
      const { reason, retryAfterMs } = grant.error
      const pauseMs = computePauseMs(retryAfterMs)
      log.debug({ req: job.requestId, reason, pauseMs }, 'begun stream waits for a slot')
      await clock.sleep(pauseMs, signal)
    }
  }

  return {
    acquire: async (signal, without) => await acquireAwayFromSuspects(findUnusable(without), false, signal),
    acquireToContinue,
    exclude: (targetId, cause) => {
      const isTemporary = cause !== undefined && TEMPORARY_FAILURES.has(cause)
      if (isTemporary) postponed.add(targetId)
      else excluded.add(targetId)
      // A target that has refused the job before it ran is not at fault, so that it may be asked again.
      if (!isTemporary || cause === 'streamSilent') silentTargets.delete(targetId)
    },
    leaveSilent: (targetId) => {
      postponed.add(targetId)
      silentTargets.add(targetId)
    },
    hasSilentTarget: () => silentTargets.size > 0
  }
}
