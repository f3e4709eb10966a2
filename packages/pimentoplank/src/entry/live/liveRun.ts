/** Runs a live job: acquires a slot, reads the stream, and fails over to another target when one fails. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import {
  canContinueOn, findRunVersion, RefusalError, waitOutSilence,
  type EngineError, type EngineErrorKind, type EngineEvent, type EngineRequest, type EngineStream, type Outcome,
  type ResumePoint, type RunVersion,
  type SlotGrant, type SlotReport
} from '../../shared'
import { createAttemptTimer, type AttemptTimer } from './attemptTimer'
import {
  BEGINNING_TOKENS, FAILURE_OUTCOMES, RETRY_REASONS, getWorseOutcome, type LiveDeps, type LiveJob, type LiveRun
} from './liveJob'
import { createSlotSearch } from './slotSearch'

/** Execution of the job on one target. */
interface Attempt {
  grant: SlotGrant
  stream: EngineStream
  /** Software version of the target. */
  version: RunVersion
  /** Number of tokens received on this target. */
  tokens: number
  timer: AttemptTimer
  /** Informs the quarantine that the content no longer runs on this target. */
  markEnded: () => void
}

/** Crashes after which a job ends, whether or not its content is quarantined. */
const MAX_CRASHES = 2

/** Pause of a silent stream before it checks again whether its content is quarantined, in milliseconds. */
const QUARANTINE_PAUSE_MS = 100

/** Cheap refusals that indicate neither load nor faults, so that their retries need no budget. */
const UNBUDGETED_RETRIES: ReadonlySet<EngineErrorKind> = new Set(['targetLeaving', 'modelNotLoaded'])

/** Starts a job; nothing is sent before the first call of `next`. */
export function createLiveRun (job: LiveJob, deps: LiveDeps): LiveRun {
  const { clock, engine, log, metrics } = deps
  const deadlineAt = clock.now() + job.timeoutMs
  const deadline = new AbortController()
  const finished = new AbortController()
  const signal = job.signal === undefined ? deadline.signal : AbortSignal.any([deadline.signal, job.signal])
  const search = createSlotSearch({ job, deps, deadlineAt })
  let attempt: Attempt | undefined
  let dispatchAllowed = job.beforeDispatch === undefined
  let attemptsLeft = deps.maxAttempts
  let crashes = 0
  /** True if the request tests whether its quarantined parts still crash targets. */
  let isProbe = false
  let outcome: Outcome = 'not_run'
  let tokens = 0
  let text = ''
  /** Software version that has generated the text. */
  let version: RunVersion = {}
  /** Slot that is held already for the next attempt. */
  let nextGrant: SlotGrant | undefined

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
      const event = await readEvent(attempt)
      if (event === undefined) continue
      if (event.isOk()) return ok(handleEvent(attempt, event.value))
      const finalRefusal = await recover(attempt, event.error)
      if (finalRefusal !== undefined) return await endWithRefusal(finalRefusal)
    }
  }

  /** Reads the next event; undefined when the stream was silent and a slot is held on another target. */
  async function readEvent (current: Attempt): Promise<Result<EngineEvent, EngineError> | undefined> {
    const event = await current.stream.next()
    if (event.isOk() || event.error.kind !== 'streamSilent') return event
    const targetId = current.grant.target.id
    const end = await waitOutSilence<SlotGrant>({
      stream: current.stream,
      clock,
      attach: async (stopped) => await attachTo(current, stopped),
      findReplacement: async (stopped) => await acquireElsewhere(targetId, AbortSignal.any([signal, stopped])),
      release: (grant) => grant.release({ result: 'revoked' })
    })
    const isOwn = end.type === 'event' && end.stream === current.stream
    const next = end.type === 'replaced' ? end.replacement.target.id : targetId
    log.info({ req: job.requestId, target: targetId, tokens, next, reconnected: !isOwn }, 'silence of a stream ended')
    if (isOwn) return end.event
    metrics.countRetry('streamSilent')
    if (end.type === 'event') {
      current.stream.disconnect()
      current.stream = end.stream
      current.version = findRunVersion(deps.membership, current.grant.target, end.stream)
      return end.event
    }
    outcome = getWorseOutcome(outcome, FAILURE_OUTCOMES.streamSilent)
    attemptsLeft -= 1
    giveUp(current)
    search.leaveSilent(targetId)
    attempt = undefined
    nextGrant = end.replacement
    return undefined
  }

  /** Opens a second connection to a silent stream. */
  async function attachTo (current: Attempt, stopped: AbortSignal): Promise<EngineStream | undefined> {
    if (current.stream.streamId === '' || !mayStay(current)) return undefined
    const started = await engine.start(current.grant.target, createEngineRequest(getResumePoint(current)), {
      signal: AbortSignal.any([signal, stopped]), firstTokenTimeoutMs: deps.attachTimeoutMs
    })
    return started.unwrapOr(undefined)
  }

  /** Acquires a slot for a stream that is silent on a target; undefined when it must stay there. */
  async function acquireElsewhere (targetId: string, stopped: AbortSignal): Promise<SlotGrant | undefined> {
    if (!job.repeatable || attemptsLeft <= 1) return undefined
    if (tokens === 0 && !deps.budget.tryTakeRetry(job.service)) return undefined
    while (!stopped.aborted) {
      // Given up while it is quarantined, the stream would be refused elsewhere.
      if (isQuarantined()) {
        await clock.sleep(QUARANTINE_PAUSE_MS, stopped)
        continue
      }
      const grant = await (tokens > 0
        ? search.acquireToContinue(stopped, { version, without: targetId })
        : search.acquire(stopped, targetId))
      if (grant.isErr()) return undefined
      if (!isQuarantined()) return grant.value
      grant.value.release({ result: 'revoked' })
    }
    return undefined
  }

  async function openAttempt (): Promise<Result<Attempt, RefusalError>> {
    for (;;) {
      const held = nextGrant
      nextGrant = undefined
      // A held slot was acquired while the content was not quarantined.
      if (held === undefined && await isRefusedByQuarantine()) return err(createRefusal('quarantined'))
      const grant = held === undefined ? await acquire() : ok<SlotGrant, RefusalError>(held)
      if (grant.isErr()) return err(grant.error)
      const allowed = await allowDispatch()
      if (allowed.isErr()) {
        grant.value.release({ result: 'revoked' })
        return err(allowed.error)
      }
      const started = await startStream(grant.value, getResumePoint())
      if (started.isOk()) return ok(started.value)
      const finalRefusal = await handleStartFailure(grant.value, started.error)
      if (finalRefusal !== undefined) return err(finalRefusal)
    }
  }

  function isQuarantined (): boolean {
    return !isProbe && deps.quarantine.isQuarantined(job.contentHash, job.partHashes)
  }

  async function isRefusedByQuarantine (): Promise<boolean> {
    if (!isQuarantined()) return false
    isProbe = job.repeatable && await deps.quarantine.claimProbe(job.contentHash, job.partHashes)
    return !isProbe
  }

  async function acquire (): Promise<Result<SlotGrant, RefusalError>> {
    const startedAt = clock.now()
    const grant = await (tokens > 0
      ? search.acquireToContinue(signal, { version, mustGoBack: attemptsLeft <= 0 })
      : search.acquire(signal))
    metrics.timing('live.slotWait', clock.now() - startedAt)
    if (grant.isOk()) return grant
    if (signal.aborted) return err(createStopRefusal())
    const { message, retryAfterMs } = grant.error
    // Failed targets are excluded, so `noTarget` after a failure means that no other target is left.
    const isLast = grant.error.reason === 'noTarget' && outcome !== 'not_run'
    const reason = isLast ? 'targetFailed' : grant.error.reason
    return err(new RefusalError(reason, { detail: message, outcome, retryAfterMs, cause: grant.error }))
  }

  /** Whether the target, as listed now, runs the software version that began the stream. */
  function mayStay ({ grant }: Attempt): boolean {
    return tokens === 0 || canContinueOn(deps.membership, grant.target, version)
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
    const started = await engine.start(grant.target, createEngineRequest(resume), { signal, firstTokenTimeoutMs })
    if (started.isErr() && !started.error.reached) markEnded()
    return started.map((stream) => (
      { grant, stream, version: findRunVersion(deps.membership, grant.target, stream), tokens: 0, timer, markEnded }
    ))
  }

  function createEngineRequest (resume: ResumePoint | undefined): EngineRequest {
    return { requestId: job.requestId, kind: job.kind, body: job.body, resume, attachOnly: !job.repeatable }
  }

  /**
   * Returns the point from which to resume, if any token has been received.
   *
   * @param from - the attempt whose stream still runs; absent when another target continues from the text so far
   */
  function getResumePoint (from?: Attempt): ResumePoint | undefined {
    const point = { tokens, text, softwareVersion: version }
    if (from !== undefined) return { ...point, streamId: from.stream.streamId, targetId: from.grant.target.id }
    return tokens === 0 ? undefined : { ...point, streamId: '', targetId: '' }
  }

  function handleEvent (current: Attempt, event: EngineEvent): EngineEvent {
    if (event.type === 'token') {
      if (tokens === 0) version = current.version
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
    if (!isAlive && cause.kind === 'streamCut') return await handleCrash(broken)
    const resumed = isAlive && mayStay(broken) ? await resumeOnSameTarget(broken, cause) : err(cause)
    if (resumed.isOk()) return undefined
    giveUp(broken)
    search.exclude(broken.grant.target.id, resumed.error.kind)
    return retryOrRefuse(cause)
  }

  /** Ends a stream that another one replaces and must not run beside. */
  function giveUp (abandoned: Attempt): void {
    abandoned.stream.cancel().catch(() => undefined)
    release(abandoned, 'failed')
  }

  /** Opens a new connection to the stream, which still runs on the same target. */
  async function resumeOnSameTarget (broken: Attempt, cause: EngineError): Promise<Result<void, EngineError>> {
    if (attemptsLeft <= 1 || broken.stream.streamId === '' || !spendRetry(cause)) return err(cause)
    attemptsLeft -= 1
    const started = await startStream(broken.grant, getResumePoint(broken), deps.attachTimeoutMs)
    return started.map((resumed) => {
      attempt = { ...resumed, timer: broken.timer }
      return undefined
    })
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
    search.exclude(target.id, undefined)
    return retryOrRefuse(undefined)
  }

  /** Handles a failed start on a target; returns the refusal that ends the job, or undefined to retry elsewhere. */
  async function handleStartFailure (grant: SlotGrant, cause: EngineError): Promise<RefusalError | undefined> {
    if (cause.reached) outcome = getWorseOutcome(outcome, FAILURE_OUTCOMES[cause.kind])
    if (cause.kind === 'targetLeaving') deps.membership.markLeaving(grant.target.id, 'ownAnswer')
    if (signal.aborted) {
      grant.release({ result: deadline.signal.aborted && cause.reached ? 'failed' : 'revoked' })
      return createStopRefusal()
    }
    const markEnded = deps.quarantine.trackRun(job.contentHash, grant.target.id)
    if (cause.kind === 'streamCut' && !(await engine.probe(grant.target))) {
      const timer = createAttemptTimer(clock, metrics, false)
      return await handleCrash({ grant, stream: NO_STREAM, version: {}, tokens: 0, timer, markEnded })
    }
    markEnded()
    if (cause.kind === 'rejected') {
      grant.release({ result: 'revoked' })
      return new RefusalError('badRequest', { detail: cause.message, outcome, cause })
    }
    grant.release({ result: cause.reached ? 'failed' : 'notRun' })
    search.exclude(grant.target.id, cause.kind)
    return retryOrRefuse(cause)
  }

  function retryOrRefuse (cause: EngineError | undefined): RefusalError | undefined {
    const hasNotRun = outcome === 'not_run'
    // A stream that has begun is not cut by targets that refuse it before they run it.
    if (tokens === 0 || cause?.reached !== false) attemptsLeft -= 1
    // With its attempts used, a stream that has begun may still go back to a target that it left for its silence.
    const isLast = attemptsLeft <= 0 && !(tokens > 0 && search.hasSilentTarget())
    if ((!job.repeatable && !hasNotRun) || isLast) return createFailureRefusal(cause)
    return spendRetry(cause) ? undefined : createRefusal('retryBudget', cause)
  }

  function spendRetry (cause: EngineError | undefined): boolean {
    const isFree = cause !== undefined && UNBUDGETED_RETRIES.has(cause.kind)
    // A stream that has begun takes from the budget what is left, and goes on without.
    if (!isFree && !deps.budget.tryTakeRetry(job.service) && tokens === 0) return false
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
    release(current, deadline.signal.aborted ? 'failed' : 'revoked')
    await current.stream.cancel()
  }

  return { next: () => new ResultAsync(next()), cancel }
}

/** Placeholder for the stream when the start failed before the response head arrived. */
const NO_STREAM: EngineStream = {
  streamId: '',
  disconnect: () => undefined,
  next: () => { throw new Error('cannot read events: the stream was never started') },
  cancel: async () => undefined
}
