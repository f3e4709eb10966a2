/** Sends a call to a target of a plain service, and retries it on another where that is safe. */
import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import type { Dispatcher } from 'undici'
import {
  describeCause, readLimitedBody, RefusalError, TIMED_OUT, withTimeLimit,
  type Clock, type MembershipView, type Metrics, type Outcome, type RetryReason, type ServiceEntry, type SlotClient,
  type SlotGrant, type SlotReport, type TargetAgent
} from '../../shared'
import type { RetryBudget } from '../retries'

const HTTP_UNAVAILABLE = 503
const LEAVING_CODE = 'leaving'

export interface ServiceCall {
  service: ServiceEntry
  account: string
  weight: number
  method: string
  /** Path and query at the target. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  timeoutMs: number
  /** True when the call may be retried even if an earlier attempt may have run. */
  isRepeatable: boolean
  /** Called once, before the first dispatch; an error ends the call. */
  beforeDispatch?: () => ResultAsync<void, RefusalError>
  /** Aborts when the caller disconnects. */
  signal?: AbortSignal
}

export interface ServiceDeps {
  slots: SlotClient
  agent: TargetAgent
  membership: MembershipView
  budget: RetryBudget
  clock: Clock
  metrics: Metrics
  maxAttempts: number
}

/** Response whose status and headers have been received. */
export interface ServiceResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: AsyncIterator<Uint8Array, undefined>
  /** Releases the slot, and closes the connection unless the response was read to its end. */
  close: (result: SlotReport['result']) => void
}

interface DispatchFailure {
  reason: RetryReason
  /** True when the request may have reached the target. */
  reached: boolean
  detail: string
}

/** Runs a call until a target has responded; the error says why none has. */
export async function callService (
  call: ServiceCall,
  deps: ServiceDeps
): Promise<Result<ServiceResponse, RefusalError>> {
  const { clock } = deps
  const deadlineAt = clock.now() + call.timeoutMs
  const excluded: string[] = []
  let isDispatchAllowed = call.beforeDispatch === undefined
  let outcome: Outcome = 'not_run'
  deps.budget.recordRequest(call.service.name)

  for (let attempt = 1; ; attempt++) {
    const grant = await acquire(call, deps, excluded, deadlineAt - clock.now())
    if (grant.isErr()) return err(withOutcome(grant.error, outcome))
    if (!isDispatchAllowed && call.beforeDispatch !== undefined) {
      const allowed = await call.beforeDispatch()
      if (allowed.isErr()) {
        grant.value.release({ result: 'revoked' })
        return err(allowed.error)
      }
      isDispatchAllowed = true
    }
    const res = await dispatch(call, deps, grant.value, deadlineAt - clock.now())
    if (res.isOk()) return ok(res.value)

    const { reason, reached, detail } = res.error
    // A disconnect of the caller is no failure of the target.
    const isGivenUp = call.signal?.aborted === true
    grant.value.release({ result: isGivenUp ? 'revoked' : reached ? 'failed' : 'notRun' })
    // A call that reached its target but got no response may have run to completion.
    if (reached) outcome = 'unknown'
    excluded.push(grant.value.target.id)
    if (reason === 'targetLeaving') deps.membership.markLeaving(grant.value.target.id, 'ownAnswer')
    const isSafe = call.isRepeatable || outcome === 'not_run'
    const isOver = clock.now() >= deadlineAt || call.signal?.aborted === true
    if (isOver) return err(new RefusalError('timeout', { outcome, detail }))
    if (!isSafe || attempt >= deps.maxAttempts) {
      return err(new RefusalError(outcome === 'not_run' ? 'noTarget' : 'targetFailed', { outcome, detail }))
    }
    if (reason !== 'targetLeaving' && !deps.budget.tryTakeRetry(call.service.name)) {
      return err(new RefusalError('retryBudget', { outcome, detail }))
    }
    deps.metrics.countRetry(reason)
  }
}

async function acquire (
  call: ServiceCall,
  deps: ServiceDeps,
  excluded: string[],
  deadlineMs: number
): Promise<Result<SlotGrant, RefusalError>> {
  return await deps.slots.acquire({
    service: call.service.name,
    workClass: 'live',
    account: call.account,
    weight: call.weight,
    deadlineMs: Math.max(0, deadlineMs),
    prefixHash: 0n,
    excluded
  }, { signal: call.signal })
}

async function dispatch (
  call: ServiceCall,
  deps: ServiceDeps,
  grant: SlotGrant,
  remainingMs: number
): Promise<Result<ServiceResponse, DispatchFailure>> {
  const mark = { sent: false }
  const connection = new AbortController()
  const limitMs = Math.min(remainingMs, call.service.timeoutMs)
  const timer = new AbortController()
  deps.clock.sleep(limitMs, timer.signal).then(() => {
    if (!timer.signal.aborted) connection.abort()
  })
  const signal = call.signal === undefined ? connection.signal : AbortSignal.any([connection.signal, call.signal])
  const sent = deps.agent.request({
    address: grant.target.address,
    path: call.path,
    method: call.method,
    headers: call.headers,
    body: call.body.length === 0 ? undefined : call.body,
    signal,
    mark
  })
  try {
    const res = await withTimeLimit(deps.clock, limitMs, sent)
    if (res === TIMED_OUT) {
      connection.abort()
      return err({ reason: 'streamSilent', reached: mark.sent, detail: 'the target did not answer in time' })
    }
    if (res.statusCode !== HTTP_UNAVAILABLE) return ok(createResponse(res, res.body[Symbol.asyncIterator](), close))
    const bytes = await readLimitedBody(res.body, deps.clock)
    if (bytes === undefined) {
      timer.abort()
      return err({ reason: 'streamCut', reached: true, detail: 'the error response broke off or had no end' })
    }
    if (!isLeavingError(bytes)) return ok(createResponse(res, [bytes].values(), close))
    timer.abort()
    return err({ reason: 'targetLeaving', reached: false, detail: 'the target is leaving' })
  } catch (cause) {
    timer.abort()
    const reason = mark.sent ? 'streamCut' : 'connectFailed'
    return err({ reason, reached: mark.sent, detail: describeCause(cause) })
  }

  function close (result: SlotReport['result']): void {
    timer.abort()
    if (result !== 'done') connection.abort()
    grant.release({ result })
  }
}

function createResponse (
  res: Dispatcher.ResponseData,
  chunks: AsyncIterator<Uint8Array> | Iterator<Uint8Array>,
  close: ServiceResponse['close']
): ServiceResponse {
  const body = { next: async () => await chunks.next() as IteratorResult<Uint8Array, undefined> }
  return { status: res.statusCode, headers: res.headers, body, close }
}

function isLeavingError (body: Uint8Array): boolean {
  try {
    return JSON.parse(new TextDecoder().decode(body))?.error?.code === LEAVING_CODE
  } catch {
    return false
  }
}

function withOutcome (cause: RefusalError, outcome: Outcome): RefusalError {
  const { message, retryAfterMs } = cause
  const hasNoFurtherTarget = cause.reason === 'noTarget' && outcome !== 'not_run'
  const reason = hasNoFurtherTarget ? 'targetFailed' : cause.reason
  return new RefusalError(reason, { detail: message, retryAfterMs, outcome, cause })
}
