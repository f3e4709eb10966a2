/** Runs a live job: acquires a slot, reads the stream, and fails over to another target when one fails. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import {
  RefusalError,
  type EngineError, type EngineErrorKind, type EngineEvent, type EngineStream, type Outcome, type ResumePoint,
  type SlotGrant, type SlotReport
} from '../../shared'
import { createAttemptTimer, type AttemptTimer } from './attemptTimer'
import {
  BEGINNING_TOKENS, FAILURE_OUTCOMES, RETRY_REASONS, getWorseOutcome, type LiveDeps, type LiveJob, type LiveRun
} from './liveJob'

/** Execution of the job on one target. */
interface Attempt {
  grant: SlotGrant
  stream: EngineStream
  /** Number of tokens received on this target. */
  tokens: number
  timer: AttemptTimer
  /** Informs the quarantine that the content no longer runs on this target. */
  markEnded: () => void
}

/** Crashes after which a job ends, whether or not its content is quarantined. */
const MAX_CRASHES = 2

/** Cheap refusals that indicate neither load nor faults, so that their retries need no budget. */
const UNBUDGETED_RETRIES: ReadonlySet<EngineErrorKind> = new Set(['targetLeaving', 'modelNotLoaded'])

/** Starts a job; nothing is sent before the first call of `next`. */
export function createLiveRun (job: LiveJob, deps: LiveDeps): LiveRun {
  const { clock, engine, metrics, slots } = deps
  const deadlineAt = clock.now() + job.timeoutMs
  const deadline = new AbortController()
  const finished = new AbortController()
  const signal = job.signal === undefined ? deadline.signal : AbortSignal.any([deadline.signal, job.signal])
  const excluded: string[] = []
  let attempt: Attempt | undefined
  let dispatchAllowed = job.beforeDispatch === undefined
  let attemptsLeft = deps.maxAttempts
  let crashes = 0
  /** True if the request tests whether its quarantined parts still crash targets. */
  let isProbe = false
  let outcome: Outcome = 'not_run'
  let tokens = 0
  let text = ''

  deps.budget.recordRequest(job.service)
  clock.sleep(job.timeoutMs, finished.signal).then(() => {
    if (!finished.signal.aborted) deadline.abort()
  })

  async function next (): Promise<Result<EngineEvent, RefusalError>> {
    for (;;) {
      if (attempt === undefined) {
        const opened = await openAttempt()
        if (opened.isErr()) return await endWithRefusal(opened.error)
        attempt = opened.value
      }
      const event = await attempt.stream.next()
      if (event.isOk()) return ok(handleEvent(attempt, event.value))
      const finalRefusal = await recover(attempt, event.error)
      if (finalRefusal !== undefined) return await endWithRefusal(finalRefusal)
    }
  }

  async function openAttempt (): Promise<Result<Attempt, RefusalError>> {
    for (;;) {
      if (await isRefusedByQuarantine()) return err(createRefusal('quarantined'))
      const grant = await acquire()
      if (grant.isErr()) return err(grant.error)
      const allowed = await allowDispatch()
      if (allowed.isErr()) {
        grant.value.release({ result: 'notRun' })
        return err(allowed.error)
      }
      const started = await startStream(grant.value, getResumePoint())
      if (started.isOk()) return ok(started.value)
      const finalRefusal = await handleStartFailure(grant.value, started.error)
      if (finalRefusal !== undefined) return err(finalRefusal)
    }
  }

  async function isRefusedByQuarantine (): Promise<boolean> {
    if (isProbe || !deps.quarantine.isQuarantined(job.contentHash, job.partHashes)) return false
    isProbe = job.repeatable && await deps.quarantine.claimProbe(job.contentHash, job.partHashes)
    return !isProbe
  }

  async function acquire (): Promise<Result<SlotGrant, RefusalError>> {
    const startedAt = clock.now()
    const grant = await acquireAwayFromSuspects()
    metrics.timing('live.slotWait', clock.now() - startedAt)
    if (grant.isOk()) return grant
    if (signal.aborted) return err(createStopRefusal())
    const { message, retryAfterMs } = grant.error
    // Failed targets are excluded, so `noTarget` after a failure means that no other target is left.
    const isLast = grant.error.reason === 'noTarget' && outcome !== 'not_run'
    const reason = isLast ? 'targetFailed' : grant.error.reason
    return err(new RefusalError(reason, { detail: message, outcome, retryAfterMs, cause: grant.error }))
  }

  /** Acquires a slot on a target without other suspect content, or on any target if there is none. */
  async function acquireAwayFromSuspects (): Promise<Result<SlotGrant, RefusalError>> {
    const unusable = [...excluded, ...findTargetsWithoutModel()]
    const suspects = deps.quarantine.findTargetsWithSuspects(job.contentHash)
    const grant = await acquireExcluding([...unusable, ...suspects])
    const isFallbackNeeded = suspects.length > 0 && grant.isErr() && grant.error.reason === 'noTarget'
    return isFallbackNeeded ? await acquireExcluding(unusable) : grant
  }

  async function acquireExcluding (unusable: readonly string[]): Promise<Result<SlotGrant, RefusalError>> {
    return await slots.acquire({
      service: job.service,
      model: job.model,
      workClass: 'live',
      account: job.account,
      weight: job.weight,
      deadlineMs: Math.max(0, deadlineAt - clock.now()),
      prefixHash: job.prefixHash,
      excluded: unusable
    }, { signal })
  }

  /** Returns the targets that have not loaded the model; none when its placement is not known from the controller. */
  function findTargetsWithoutModel (): string[] {
    const serving = deps.targetsServing?.(job.model)
    if (serving === undefined || serving.size === 0) return []
    return deps.membership.targets(job.service).map((target) => target.id).filter((id) => !serving.has(id))
  }

  async function allowDispatch (): Promise<Result<void, RefusalError>> {
    if (dispatchAllowed || job.beforeDispatch === undefined) return ok(undefined)
    const allowed = await job.beforeDispatch()
    dispatchAllowed = allowed.isOk()
    return allowed
  }

  async function startStream (
    grant: SlotGrant,
    resume: ResumePoint | undefined,
    firstTokenTimeoutMs?: number
  ): Promise<Result<Attempt, EngineError>> {
    const timer = createAttemptTimer(clock, metrics, tokens === 0)
    const markEnded = deps.quarantine.trackRun(job.contentHash, grant.target.id)
    const started = await engine.start(grant.target, {
      requestId: job.requestId, kind: job.kind, body: job.body, resume, attachOnly: !job.repeatable
    }, { signal, firstTokenTimeoutMs })
    if (started.isErr() && !started.error.reached) markEnded()
    return started.map((stream) => ({ grant, stream, tokens: 0, timer, markEnded }))
  }

  /**
   * Returns the point from which to resume, if any token has been received.
   *
   * @param from - the attempt whose stream still runs; absent when another target continues from the text so far
   */
  function getResumePoint (from?: Attempt): ResumePoint | undefined {
    if (from !== undefined) return { streamId: from.stream.streamId, targetId: from.grant.target.id, tokens, text }
    return tokens === 0 ? undefined : { streamId: '', targetId: '', tokens, text }
  }

  function handleEvent (current: Attempt, event: EngineEvent): EngineEvent {
    if (event.type === 'token') {
      tokens += 1
      current.tokens += 1
      if (current.tokens === BEGINNING_TOKENS) deps.quarantine.recordAnswer(job.partHashes)
      text += event.text
      attemptsLeft = deps.maxAttempts
      current.timer.recordToken()
      return event
    }
    release(current, 'done')
    finished.abort()
    return { ...event, completionTokens: Math.max(event.completionTokens, tokens) }
  }

  /** Recovers from a broken stream; returns the refusal that ends the job if that is not possible. */
  async function recover (broken: Attempt, cause: EngineError): Promise<RefusalError | undefined> {
    attempt = undefined
    outcome = getWorseOutcome(outcome, FAILURE_OUTCOMES[cause.kind])
    if (signal.aborted) {
      attempt = broken
      return createStopRefusal()
    }
    const isAlive = await deps.engine.probe(broken.grant.target)
    if (isAlive && await resumeOnSameTarget(broken, cause)) return undefined
    if (!isAlive && cause.kind === 'streamCut') return await handleCrash(broken)
    // The abandoned stream must not keep running beside the one that replaces it.
    broken.stream.cancel().catch(() => undefined)
    release(broken, 'failed')
    return retryOrRefuse(broken.grant.target.id, cause)
  }

  /** Opens a new connection to the stream, which still runs on the same target. */
  async function resumeOnSameTarget (broken: Attempt, cause: EngineError): Promise<boolean> {
    if (attemptsLeft <= 1 || broken.stream.streamId === '' || !spendRetry(cause)) return false
    attemptsLeft -= 1
    const started = await startStream(broken.grant, getResumePoint(broken), deps.attachTimeoutMs)
    if (started.isErr()) return false
    attempt = { ...started.value, timer: broken.timer }
    return true
  }

  async function handleCrash (broken: Attempt): Promise<RefusalError | undefined> {
    const { target } = broken.grant
    const verdict = deps.quarantine.recordCrash(
      job.contentHash, target.id, broken.tokens < BEGINNING_TOKENS ? job.partHashes : []
    )
    release(broken, 'crashed')
    crashes += 1
    if (await verdict === 'quarantined') return createRefusal('quarantined')
    if (crashes >= MAX_CRASHES) return createRefusal('targetFailed')
    return retryOrRefuse(target.id, undefined)
  }

  /** Handles a failed start on a target; returns the refusal that ends the job, or undefined to retry elsewhere. */
  async function handleStartFailure (grant: SlotGrant, cause: EngineError): Promise<RefusalError | undefined> {
    if (cause.reached) outcome = getWorseOutcome(outcome, FAILURE_OUTCOMES[cause.kind])
    if (cause.kind === 'targetLeaving') deps.membership.markLeaving(grant.target.id, 'ownAnswer')
    if (signal.aborted) {
      grant.release({ result: cause.reached ? 'failed' : 'notRun' })
      return createStopRefusal()
    }
    const markEnded = deps.quarantine.trackRun(job.contentHash, grant.target.id)
    if (cause.kind === 'streamCut' && !(await engine.probe(grant.target))) {
      const timer = createAttemptTimer(clock, metrics, false)
      return await handleCrash({ grant, stream: NO_STREAM, tokens: 0, timer, markEnded })
    }
    markEnded()
    grant.release({ result: cause.reached ? 'failed' : 'notRun' })
    if (cause.kind === 'rejected') return new RefusalError('badRequest', { detail: cause.message, outcome, cause })
    return retryOrRefuse(grant.target.id, cause)
  }

  function retryOrRefuse (targetId: string, cause: EngineError | undefined): RefusalError | undefined {
    excluded.push(targetId)
    const hasNotRun = outcome === 'not_run'
    attemptsLeft -= 1
    if ((!job.repeatable && !hasNotRun) || attemptsLeft <= 0) return createFailureRefusal(cause)
    return spendRetry(cause) ? undefined : createRefusal('retryBudget', cause)
  }

  function spendRetry (cause: EngineError | undefined): boolean {
    const isFree = cause !== undefined && UNBUDGETED_RETRIES.has(cause.kind)
    if (!isFree && !deps.budget.tryTakeRetry(job.service)) return false
    metrics.countRetry(RETRY_REASONS[cause?.kind ?? 'streamCut'] ?? 'targetError')
    return true
  }

  function createFailureRefusal (cause: EngineError | undefined): RefusalError {
    if (outcome === 'not_run') return createRefusal('noTarget', cause)
    return createRefusal(cause?.kind === 'streamSilent' ? 'timeout' : 'targetFailed', cause)
  }

  function createStopRefusal (): RefusalError {
    return createRefusal('timeout')
  }

  function createRefusal (reason: RefusalError['reason'], cause?: EngineError): RefusalError {
    return new RefusalError(reason, { outcome, cause })
  }

  function release (current: Attempt, result: SlotReport['result']): void {
    current.markEnded()
    current.grant.release({ result, ...current.timer.getReport() })
  }

  async function endWithRefusal (cause: RefusalError): Promise<Result<EngineEvent, RefusalError>> {
    await cancel()
    return err(cause)
  }

  async function cancel (): Promise<void> {
    finished.abort()
    const current = attempt
    attempt = undefined
    if (current === undefined) return
    // A disconnect of the caller is no failure of the target.
    release(current, deadline.signal.aborted ? 'failed' : 'notRun')
    await current.stream.cancel()
  }

  return { next: () => new ResultAsync(next()), cancel }
}

/** Placeholder for the stream when the start failed before the response head arrived. */
const NO_STREAM: EngineStream = {
  streamId: '',
  next: () => { throw new Error('cannot read events: the stream was never started') },
  cancel: async () => undefined
}
