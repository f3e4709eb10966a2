/** Relays one live request to a target, and retries it at another where that is safe. */
import { err, ok, type Result } from 'neverthrow'
import { describeCause, RefusalError, type Log } from '../../shared'
import { canRetry, isRepeatable, mayEndUnproven, REST_WAIT_MS } from '../decisions'
import type { SendFailure } from '../exchange'
import { listUsedServices } from '../routing'
import { attemptTarget, type FailedAttempt } from './attemptTarget'
import type { LiveCall, Progress, RelayDeps } from './liveCall'
import type { Slot, SlotQuery } from './slotScheduler'

/** Pause after all targets have refused a request that has run elsewhere, in milliseconds. */
const REFUSED_PAUSE_MS = 100
/** A probe that has waited for longer is refused, in milliseconds: its turn may be that of another instance by then. */
const MAX_PROBE_WAIT_MS = 1000
/** Used for requests without a deadline: the longest delay that Node's timers accept, in milliseconds. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Relays a request; resolves when its response has ended. */
export async function relayRequest (call: LiveCall, deps: RelayDeps): Promise<void> {
  const { request, route, reply, arrivedAt } = call
  const { clock, log, metrics } = deps
  const endAt = arrivedAt + Math.min(request.deadlineMs ?? MAX_TIMER_MS, route.timeoutMs)
  const over = new AbortController()
  const end = (): void => over.abort()
  const timer = setTimeout(end, Math.max(0, endAt - clock.now()))
  const removeOpenRequest = deps.openRequests.add(end)
  const ended = AbortSignal.any([over.signal, reply.disconnected])
  const progress: Progress = {
    runs: 0,
    refusals: 0,
    lastEventId: request.lastEventId,
    openEnds: 0,
    excluded: new Set(),
    silentTargets: new Set(),
    refusedBy: new Set()
  }
  // Targets that could not be connected to can be reached through peers.
  const removeLostListener = deps.paths.onLost(() => progress.refusedBy.clear())
  const isResumable = route.kind === 'stream' && route.isResumable
  const isTakenUp = isResumable && request.lastEventId !== undefined
  /** A stream that is taken up goes on at the service that began it. */
  let { service } = call
  let heldSlot: Slot | undefined
  /** Since when targets are asked for what may follow the last event, on the monotonic clock. */
  let openSince: number | undefined

  try {
    if (isTakenUp) {
      const origin = await deps.streamVersionFinder.find(request, route.services.map((one) => one.service))
      if (origin.isErr()) return failRequest(origin.error)
      const services = listUsedServices(route)
      if (!services.includes(origin.value.service)) {
        log.info({ req: request.id, service: origin.value.service, services }, 'stream began at a service that its route no longer uses')
        return failRequest(new RefusalError('noTarget', { detail: `route ${route.name} no longer uses the service of the stream` }))
      }
      service = origin.value.service
      progress.version = origin.value.version
    }
    for (;;) {
      const version = findVersion()
      if (version.isErr()) return failRequest(version.error)
      progress.version = version.value
      if (heldSlot !== undefined && !mayGoOnAt(heldSlot)) {
        heldSlot.discard()
        heldSlot = undefined
      }
      const acquired = heldSlot === undefined ? await acquireSlot() : ok<Slot, RefusalError>(heldSlot)
      heldSlot = undefined
      if (reply.disconnected.aborted) {
        if (acquired.isOk()) acquired.value.discard()
        return logEnd('callerGone')
      }
      if (acquired.isErr()) return failRequest(acquired.error)
      const slot = acquired.value
      // Targets may have crashed on such a request while this one waited or ran elsewhere.
      const isFirstTry = progress.runs + progress.refusals === 0
      const isProbe = call.isProbe && isFirstTry && clock.now() - call.arrivedAt <= MAX_PROBE_WAIT_MS
      if (!isProbe && deps.crashes.isRefused(request)) {
        slot.discard()
        return failRequest(createCrashRefusal())
      }
      const wasCutOff = deps.paths.isCutOff()
      const attempt = await attemptTarget({ call, slot, progress, isProbe, endAt, ended, createQuery }, deps)
        .finally(slot.release)
      if (attempt.type === 'done') return logEnd('done')
      if (attempt.type === 'gone') return logEnd('callerGone')
      const { failure } = attempt
      heldSlot = attempt.nextSlot
      log.info({
        req: request.id,
        target: slot.target.id,
        reason: failure.reason,
        mayHaveRun: failure.mayHaveRun,
        detail: failure.message,
        next: heldSlot?.target.id,
        ...progress.ending
      }, 'try failed')
      if (failure.reason === 'withdrawn') return failRequest(createCrashRefusal())
      const isOfPath = failure.reason === 'connectFailed' && !wasCutOff && deps.paths.isCutOff()
      if (failure.mayHaveRun) progress.runs += 1
      else if (!isOfPath) progress.refusals += 1
      if (failure.mayHaveRun) progress.silentTargets.delete(slot.target.id)
      if (!isOfPath) getFailedTargets(attempt).add(slot.target.id)
      const isAnswerBegun = route.kind !== 'stream' && reply.hasStarted()
      const hasSilentTarget = progress.silentTargets.size > 0
      const state = { ...progress, hasBegun: hasBegun(), hasSilentTarget, isAnswerBegun, leftMs: endAt - clock.now() }
      openSince = mayEndUnproven(progress) ? openSince ?? clock.now() : undefined
      const isRestOverdue = openSince !== undefined && clock.now() - openSince > REST_WAIT_MS
      if (over.signal.aborted || isRestOverdue || !canRetry(route, failure, state)) {
        return failRequest(toRefusal(failure, over.signal.aborted))
      }
      metrics.countRetry(failure.reason === 'refused' ? 'targetBusy' : 'streamCut')
    }
  } finally {
    clearTimeout(timer)
    removeOpenRequest()
    removeLostListener()
    heldSlot?.discard()
  }

  /** Nothing speaks against the end of the stream, but no target could be asked whether events follow. */
  function endUnproven (): void {
    metrics.count('live.endsUnproven')
    reply.end()
    logEnd('done', { isEndProven: false })
  }

  function getFailedTargets ({ failure, nextSlot }: FailedAttempt): Set<string> {
    if (nextSlot !== undefined) return progress.silentTargets
    return failure.mayHaveRun ? progress.excluded : progress.refusedBy
  }

  /** Once the caller has events of a stream, it goes on only at the version that wrote them. */
  function findVersion (): Result<string | undefined, RefusalError> {
    const isBound = isResumable && (progress.lastEventId !== undefined || reply.hasStarted())
    if (!isBound || progress.version !== undefined) return ok(progress.version)
    return deps.streamVersionFinder.findOwn(request)
  }

  function mayGoOnAt ({ target }: Slot): boolean {
    return progress.version === undefined || target.version === progress.version
  }

  function hasBegun (): boolean {
    return progress.runs > 0 || isTakenUp
  }

  function createQuery (signal: AbortSignal): Result<SlotQuery, RefusalError> {
    // With all its attempts used, a request may still go back to a target that has run it.
    const mustGoBack = progress.runs >= route.maxAttempts
    const silentTargets = mustGoBack ? [] : progress.silentTargets
    return findVersion().map((version) => ({
      requestId: request.id,
      route,
      service,
      arrivedAt,
      endAt,
      isReturning: call.isReturning,
      isRepeatable: isRepeatable(route),
      isContinuation: hasBegun(),
      version,
      excluded: new Set([...progress.excluded, ...silentTargets, ...progress.refusedBy]),
      only: mustGoBack ? new Set(progress.silentTargets) : undefined,
      // Targets that have merely refused the request or were silent are asked again first.
      reusable: progress.refusedBy.size + progress.silentTargets.size === 0 ? progress.excluded : undefined,
      signal
    }))
  }

  /** Acquires a slot; a request that has run goes back to targets that were silent or have refused it. */
  async function acquireSlot (): Promise<Result<Slot, RefusalError>> {
    const rest = mayEndUnproven(progress) ? [AbortSignal.timeout(REST_WAIT_MS)] : []
    const signal = AbortSignal.any([ended, ...rest])
    for (;;) {
      const query = createQuery(signal)
      if (query.isErr()) return err(query.error)
      const acquired = await deps.slotScheduler.acquire(query.value)
      if (acquired.isOk() || acquired.error.reason !== 'noTarget' || !hasBegun() || signal.aborted) return acquired
      // A target that was left for its silence may have gone on since.
      const silentTargets = progress.runs < route.maxAttempts ? progress.silentTargets : new Set()
      const [again] = [silentTargets, progress.refusedBy].filter(({ size }) => size > 0)
      if (again === undefined) return acquired
      if (again === progress.refusedBy) await clock.sleep(REFUSED_PAUSE_MS, signal)
      again.clear()
    }
  }

  function createCrashRefusal (): RefusalError {
    return new RefusalError('quarantined', { outcome: progress.runs > 0 ? 'failed' : 'not_run' })
  }

  function toRefusal (failure: SendFailure, isTimeout: boolean): RefusalError {
    const outcome = progress.runs > 0 ? 'failed' : 'not_run'
    if (isTimeout) return new RefusalError('timeout', { outcome, cause: failure })
    return new RefusalError(progress.runs > 0 ? 'targetFailed' : 'noTarget', { outcome, cause: failure })
  }

  function failRequest (refusal: RefusalError): void {
    if (mayEndUnproven(progress) && reply.hasStarted()) return endUnproven()
    const outcome = progress.runs > 0 ? 'failed' : refusal.outcome
    const reason = deps.openRequests.isEnded() ? 'addressMoved' : refusal.reason
    const last = outcome === refusal.outcome && reason === refusal.reason
      ? refusal
      : new RefusalError(reason, { outcome, detail: refusal.message, cause: refusal })
    metrics.countRefusal(last.reason)
    const cut = reply.hasStarted()
    if (cut) reply.truncate()
    else reply.refuse(last)
    logEnd('failed', { reason: last.reason, ran: outcome, cut })
  }

  function logEnd (outcome: string, fields: object = {}): void {
    const ms = Math.round(clock.now() - arrivedAt)
    metrics.timing('live.total', ms)
    log.info({ req: request.id, route: route.name, outcome, ms, runs: progress.runs, ...progress.ending, ...fields }, 'request ended')
  }
}

/** Logs an unexpected error while relaying a request, and refuses the request or cuts its connection. */
export function handleUnexpectedError (cause: unknown, call: LiveCall, log: Log): void {
  log.error({ req: call.request.id, cause: describeCause(cause) }, 'relay failed')
  if (call.reply.hasStarted()) call.reply.truncate()
  else call.reply.refuse(new RefusalError('targetFailed', { outcome: 'unknown', cause }))
}
