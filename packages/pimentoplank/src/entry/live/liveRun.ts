/** Runs a live job: takes slots, reads the stream, and goes on elsewhere when a target fails. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import {
  RefusalError,
  type EngineError, type EngineErrorKind, type EngineEvent, type EngineStream, type Outcome, type ResumePoint,
  type SlotGrant, type SlotReport
} from '../../shared'
import { createAttemptTimer, type AttemptTimer } from './attemptTimer'
import { OUTCOME_OF, RETRY_REASON_OF, worseOutcome, type LiveDeps, type LiveJob, type LiveRun } from './liveJob'

/** A job on one target. */
interface Attempt {
  grant: SlotGrant
  stream: EngineStream
  timer: AttemptTimer
  /** Notes for the quarantine that the content no longer runs here. */
  noteEnd: () => void
}

/** Crashes that one job may be part of; after them it ends, whatever the quarantine says. */
const MAX_CRASHES = 2

/** Cheap refusals that say nothing about load or faults, so that going elsewhere needs no budget. */
const FREE_RETRIES: ReadonlySet<EngineErrorKind> = new Set(['targetLeaving', 'modelNotLoaded'])

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
  let outcome: Outcome = 'not_run'
  let tokens = 0
  let text = ''

  deps.budget.noteRequest(job.service)
  clock.sleep(job.timeoutMs, finished.signal).then(() => {
    if (!finished.signal.aborted) deadline.abort()
  })

  async function next (): Promise<Result<EngineEvent, RefusalError>> {
    for (;;) {
      if (attempt === undefined) {
        const opened = await openAttempt()
        if (opened.isErr()) return await end(opened.error)
        attempt = opened.value
      }
      const event = await attempt.stream.next()
      if (event.isOk()) return ok(noteEvent(attempt, event.value))
      const refusal = await recover(attempt, event.error)
      if (refusal !== undefined) return await end(refusal)
    }
  }

  async function openAttempt (): Promise<Result<Attempt, RefusalError>> {
    for (;;) {
      if (deps.quarantine.isQuarantined(job.contentHash)) return err(refusal('quarantined'))
      const grant = await acquire()
      if (grant.isErr()) return err(grant.error)
      const allowed = await allowDispatch()
      if (allowed.isErr()) {
        grant.value.release({ result: 'notRun' })
        return err(allowed.error)
      }
      const started = await startOn(grant.value, resumePoint())
      if (started.isOk()) return ok(started.value)
      const refused = await giveUpTarget(grant.value, started.error)
      if (refused !== undefined) return err(refused)
    }
  }

  async function acquire (): Promise<Result<SlotGrant, RefusalError>> {
    const startedAt = clock.now()
    const grant = await acquireApart()
    metrics.timing('live.slotWait', clock.now() - startedAt)
    if (grant.isOk()) return grant
    if (signal.aborted) return err(stopped())
    const { message, retryAfterMs } = grant.error
    // The targets that failed are excluded, so that none may be left.
    const isLast = grant.error.reason === 'noTarget' && outcome !== 'not_run'
    const reason = isLast ? 'targetFailed' : grant.error.reason
    return err(new RefusalError(reason, { detail: message, outcome, retryAfterMs, cause: grant.error }))
  }

  /** Keeps suspect content apart from other suspects where there are targets enough. */
  async function acquireApart (): Promise<Result<SlotGrant, RefusalError>> {
    const unfit = [...excluded, ...targetsWithoutModel()]
    const suspects = deps.quarantine.targetsWithSuspects(job.contentHash)
    const apart = await acquireExcept([...unfit, ...suspects])
    const hasChoice = suspects.length > 0 && apart.isErr() && apart.error.reason === 'noTarget'
    return hasChoice ? await acquireExcept(unfit) : apart
  }

  async function acquireExcept (unfit: readonly string[]): Promise<Result<SlotGrant, RefusalError>> {
    return await slots.acquire({
      service: job.service,
      model: job.model,
      workClass: 'live',
      account: job.account,
      weight: job.weight,
      deadlineMs: Math.max(0, deadlineAt - clock.now()),
      prefixHash: job.prefixHash,
      excluded: unfit
    }, { signal })
  }

  /** Targets that have not loaded the model, as far as the controller has said where it is. */
  function targetsWithoutModel (): string[] {
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

  async function startOn (
    grant: SlotGrant,
    resume: ResumePoint | undefined,
    firstTokenTimeoutMs?: number
  ): Promise<Result<Attempt, EngineError>> {
    const timer = createAttemptTimer(clock, metrics, tokens === 0)
    const noteEnd = deps.quarantine.noteRun(job.contentHash, grant.target.id)
    const started = await engine.start(grant.target, {
      requestId: job.requestId, kind: job.kind, body: job.body, resume, attachOnly: !job.repeatable
    }, { signal, firstTokenTimeoutMs })
    if (started.isErr() && !started.error.reached) noteEnd()
    return started.map((stream) => ({ grant, stream, timer, noteEnd }))
  }

  /** The point to go on from; another target reads the text again. */
  function resumePoint (from?: Attempt): ResumePoint | undefined {
    if (from !== undefined) return { streamId: from.stream.streamId, targetId: from.grant.target.id, tokens, text }
    return tokens === 0 ? undefined : { streamId: '', targetId: '', tokens, text }
  }

  function noteEvent (current: Attempt, event: EngineEvent): EngineEvent {
    if (event.type === 'token') {
      tokens += 1
      text += event.text
      attemptsLeft = deps.maxAttempts
      current.timer.noteToken()
      return event
    }
    release(current, 'done')
    finished.abort()
    return { ...event, completionTokens: Math.max(event.completionTokens, tokens) }
  }

  /** Goes on after a broken stream; returns the refusal that ends the job when it can't. */
  async function recover (broken: Attempt, cause: EngineError): Promise<RefusalError | undefined> {
    attempt = undefined
    outcome = worseOutcome(outcome, OUTCOME_OF[cause.kind])
    if (signal.aborted) {
      attempt = broken
      return stopped()
    }
    const alive = await deps.engine.probe(broken.grant.target)
    if (alive && await takeUpAgain(broken, cause)) return undefined
    if (!alive && cause.kind === 'streamCut') return await noteCrash(broken)
    // A stream that nobody reads any more must not go on beside the one that replaces it.
    broken.stream.cancel().catch(() => undefined)
    release(broken, 'failed')
    return retryOrRefuse(broken.grant.target.id, cause)
  }

  /** Opens a new connection to the stream that still runs on the same target. */
  async function takeUpAgain (broken: Attempt, cause: EngineError): Promise<boolean> {
    if (attemptsLeft <= 1 || broken.stream.streamId === '' || !takeRetry(cause)) return false
    attemptsLeft -= 1
    const started = await startOn(broken.grant, resumePoint(broken), deps.attachTimeoutMs)
    if (started.isErr()) return false
    attempt = { ...started.value, timer: broken.timer }
    return true
  }

  async function noteCrash (broken: Attempt): Promise<RefusalError | undefined> {
    const { target } = broken.grant
    const noted = deps.quarantine.noteCrash(job.contentHash, target.id)
    release(broken, 'crashed')
    crashes += 1
    if (await noted === 'quarantined') return refusal('quarantined')
    if (crashes >= MAX_CRASHES) return refusal('targetFailed')
    return retryOrRefuse(target.id, undefined)
  }

  /** Deals with a target on which the job could not be started. */
  async function giveUpTarget (grant: SlotGrant, cause: EngineError): Promise<RefusalError | undefined> {
    if (cause.reached) outcome = worseOutcome(outcome, OUTCOME_OF[cause.kind])
    if (cause.kind === 'targetLeaving') deps.membership.noteLeaving(grant.target.id, 'ownAnswer')
    if (signal.aborted) {
      grant.release({ result: cause.reached ? 'failed' : 'notRun' })
      return stopped()
    }
    const noteEnd = deps.quarantine.noteRun(job.contentHash, grant.target.id)
    if (cause.kind === 'streamCut' && !(await engine.probe(grant.target))) {
      const timer = createAttemptTimer(clock, metrics, false)
      return await noteCrash({ grant, stream: NO_STREAM, timer, noteEnd })
    }
    noteEnd()
    grant.release({ result: cause.reached ? 'failed' : 'notRun' })
    if (cause.kind === 'rejected') return new RefusalError('badRequest', { detail: cause.message, outcome, cause })
    return retryOrRefuse(grant.target.id, cause)
  }

  function retryOrRefuse (targetId: string, cause: EngineError | undefined): RefusalError | undefined {
    excluded.push(targetId)
    const surelyNotRun = outcome === 'not_run'
    attemptsLeft -= 1
    if ((!job.repeatable && !surelyNotRun) || attemptsLeft <= 0) return failed(cause)
    return takeRetry(cause) ? undefined : refusal('retryBudget', cause)
  }

  function takeRetry (cause: EngineError | undefined): boolean {
    const isFree = cause !== undefined && FREE_RETRIES.has(cause.kind)
    if (!isFree && !deps.budget.takeRetry(job.service)) return false
    metrics.retried(RETRY_REASON_OF[cause?.kind ?? 'streamCut'] ?? 'targetError')
    return true
  }

  function failed (cause: EngineError | undefined): RefusalError {
    if (outcome === 'not_run') return refusal('noTarget', cause)
    return refusal(cause?.kind === 'streamSilent' ? 'timeout' : 'targetFailed', cause)
  }

  function stopped (): RefusalError {
    return refusal('timeout')
  }

  function refusal (reason: RefusalError['reason'], cause?: EngineError): RefusalError {
    return new RefusalError(reason, { outcome, cause })
  }

  function release (current: Attempt, result: SlotReport['result']): void {
    current.noteEnd()
    current.grant.release({ result, ...current.timer.report() })
  }

  async function end (cause: RefusalError): Promise<Result<EngineEvent, RefusalError>> {
    await cancel()
    return err(cause)
  }

  async function cancel (): Promise<void> {
    finished.abort()
    const current = attempt
    attempt = undefined
    if (current === undefined) return
    // The caller's going away says nothing about the target.
    release(current, deadline.signal.aborted ? 'failed' : 'notRun')
    await current.stream.cancel()
  }

  return { next: () => new ResultAsync(next()), cancel }
}

/** Stands for the stream of a start that broke before its head came. */
const NO_STREAM: EngineStream = {
  streamId: '',
  next: () => { throw new Error('there is no stream') },
  cancel: async () => undefined
}
