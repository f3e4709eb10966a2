/** Ensures that an at-most-once request does not run twice, whichever instances its sends arrive at. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import {
  MINUTE_MS, OBJECT_KINDS, PlatformConflict, PlatformUnavailable, RefusalError, SECOND_MS,
  type Clock, type Log, type Metrics, type PlatformClient, type PlatformError, type StoredObject
} from '../../shared'
import { toIntentName, intentRecord, type IntentRecord, type OnceRequest, type RecordedAnswer } from './intent'

/** Retry time given to a resend while the first send runs, in milliseconds. */
const IN_PROGRESS_RETRY_MS = SECOND_MS
/** Timeout for recording an intent; the slot of the request stays occupied meanwhile. */
const DEFAULT_OPEN_TIMEOUT_MS = 2 * SECOND_MS
const INITIAL_SETTLE_BACKOFF_MS = 200
const MAX_SETTLE_BACKOFF_MS = 10 * SECOND_MS
/** Time after which recording an outcome is no longer retried. */
const SETTLE_TIMEOUT_MS = 30 * MINUTE_MS

/** State of a run as known to the owner of its intent. */
export type RunState = 'running' | 'notDispatched' | 'forgotten'

export interface IntentRegistryOptions {
  platform: PlatformClient
  /** Returns the peer address under which other instances can query the runs of this one. */
  getOwnAddress: () => string
  /** Queries another instance for the state of a run; `forgotten` when it does not answer. */
  queryOwner: (address: string, intent: string, run: string) => Promise<RunState>
  /** Retention time of an outcome, in milliseconds. */
  keepMs: number
  /** Largest answer that is recorded, in bytes of JSON. */
  maxAnswerBytes: number
  openTimeoutMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

/** Result of looking up an incoming request. */
export interface IntentLookup {
  /** Recorded answer of an earlier send. */
  answer?: RecordedAnswer
  /** Revision at which to open the intent when there is no answer. */
  revision: number
}

export type Settlement =
  | { state: 'done', answer: RecordedAnswer }
  | { state: 'notRun' }
  | { state: 'unknown' }

/** Permission to dispatch a request once. */
export interface RunPermit {
  /** Records the outcome of the run; retries in the background until the platform has stored it. */
  settle: (settlement: Settlement) => void
}

export interface IntentRegistry {
  /** Looks for an earlier send; refuses while that runs, when its outcome is unknown, or when the content differs. */
  find: (req: OnceRequest) => ResultAsync<IntentLookup, RefusalError>
  /** Records the intent. The request must not be dispatched without the returned permit. */
  open: (req: OnceRequest, revision: number) => ResultAsync<RunPermit, RefusalError>
  /** Returns the state of a run of this instance. */
  stateOf: (intent: string, run: string) => RunState
  /** Resolves when no run is in progress and every outcome is recorded, or when the signal aborts. */
  waitUntilSettled: (signal: AbortSignal) => Promise<void>
  /** Stops recording outcomes; those not yet recorded are lost. */
  close: () => void
}

interface OwnRun {
  run: string
  state: Exclude<RunState, 'forgotten'>
}

/** Creates the registry of an instance. */
export function createIntentRegistry (options: IntentRegistryOptions): IntentRegistry {
  const { platform, clock, log, metrics } = options
  /** Runs whose outcome is not yet recorded, by intent name. */
  const ownRuns = new Map<string, OwnRun>()
  let onIdle = (): void => undefined
  const closed = new AbortController()

  function findRunState (intent: string, run: string): RunState {
    const own = ownRuns.get(intent)
    return own?.run === run ? own.state : 'forgotten'
  }

  async function find (req: OnceRequest): Promise<Result<IntentLookup, RefusalError>> {
    const name = toIntentName(req)
    const first = await readIntent(name)
    if (first.isErr()) return err(first.error)
    if (first.value === undefined) return ok({ revision: 0 })
    const { record } = first.value
    const openable = ok<IntentLookup, RefusalError>({ revision: first.value.revision })
    // Opening at the revision of the expired record still prevents two concurrent opens.
    if (record.expiresAt <= clock.wallTime()) return openable
    if (record.contentHash !== req.contentHash) return err(new RefusalError('onceKeyReused'))
    if (record.state === 'notRun') return openable
    if (record.state !== 'open') return toLookupResult(record)
    const state = await queryRunState(name, record)
    if (state === 'running') return err(createInProgressRefusal())
    if (state === 'notDispatched') return openable
    return await rereadIntent(name, first.value)
  }

  /** The owner drops a run once its outcome is recorded, so the record may have changed since it was read. */
  async function rereadIntent (name: string, before: Intent): Promise<Result<IntentLookup, RefusalError>> {
    const again = await readIntent(name)
    if (again.isErr()) return err(again.error)
    if (again.value === undefined) return ok({ revision: 0 })
    const { record, revision } = again.value
    if (record.state === 'notRun') return ok({ revision })
    if (record.state !== 'open') return toLookupResult(record)
    return err(revision === before.revision ? createUnknownRefusal() : createInProgressRefusal())
  }

  async function queryRunState (name: string, record: IntentRecord): Promise<RunState> {
    if (record.owner === options.getOwnAddress()) return findRunState(name, record.run)
    return await options.queryOwner(record.owner, name, record.run)
  }

  async function readIntent (name: string): Promise<Result<Intent | undefined, RefusalError>> {
    const found = await platform.get(OBJECT_KINDS.intent, name)
    if (found.isErr()) return err(createPlatformRefusal(name, found.error))
    return ok(found.value === null ? undefined : parseIntent(found.value))
  }

  async function open (req: OnceRequest, revision: number): Promise<Result<RunPermit, RefusalError>> {
    const name = toIntentName(req)
    const record: IntentRecord = {
      contentHash: req.contentHash,
      state: 'open',
      run: uuid(),
      owner: options.getOwnAddress(),
      expiresAt: clock.wallTime() + options.keepMs
    }
    if (ownRuns.has(name)) return err(createInProgressRefusal())
    const own: OwnRun = { run: record.run, state: 'running' }
    ownRuns.set(name, own)
    const put = await putIntent(name, record, revision)
    if (put.isOk()) return ok(createPermit(name, own, record, put.value.revision))
    if (mayHaveTakenEffect(put.error)) {
      // The intent may have been stored although nothing will run: record `notRun`, and answer queries so meanwhile.
      metrics.count('once.unsettledIntents')
      settle(name, own, record, revision, { state: 'notRun' })
    } else {
      removeRun(name, own)
    }
    if (put.error instanceof PlatformConflict) return err(createInProgressRefusal())
    return err(createPlatformRefusal(undefined, put.error))
  }

  async function putIntent (
    name: string,
    record: IntentRecord,
    ifRevision: number
  ): Promise<Result<StoredObject, PlatformError>> {
    const timeout = new AbortController()
    const done = new AbortController()
    clock.sleep(options.openTimeoutMs ?? DEFAULT_OPEN_TIMEOUT_MS, done.signal).then(() => {
      if (!done.signal.aborted) timeout.abort()
    })
    const put = await platform.put(OBJECT_KINDS.intent, name, record, { ifRevision, signal: timeout.signal })
    done.abort()
    return put
  }

  function createPermit (name: string, own: OwnRun, record: IntentRecord, revision: number): RunPermit {
    let isSettled = false
    return {
      settle: (settlement) => {
        if (isSettled) return
        isSettled = true
        settle(name, own, record, revision, limitAnswerSize(settlement))
      }
    }
  }

  function limitAnswerSize (settlement: Settlement): Settlement {
    if (settlement.state !== 'done') return settlement
    const isTooLarge = JSON.stringify(settlement.answer).length > options.maxAnswerBytes
    return isTooLarge ? { state: 'done', answer: { kind: 'tooLarge' } } : settlement
  }

  function settle (name: string, own: OwnRun, record: IntentRecord, revision: number, settlement: Settlement): void {
    own.state = settlement.state === 'notRun' ? 'notDispatched' : 'running'
    writeOutcome(name, { ...record, ...settlement }, revision)
      .catch((cause) => log.error({ err: cause, intent: name }, 'failed to record the outcome of an intent'))
      .finally(() => removeRun(name, own))
  }

  function removeRun (name: string, own: OwnRun): void {
    if (ownRuns.get(name) === own) ownRuns.delete(name)
    if (ownRuns.size === 0) onIdle()
  }

  /** Replaces the open intent of this run, whether or not the write that opened it has taken effect yet. */
  async function writeOutcome (name: string, outcome: IntentRecord, revision: number): Promise<void> {
    const startedAt = clock.now()
    let ifRevision = revision
    let backoffMs = INITIAL_SETTLE_BACKOFF_MS
    while (clock.now() - startedAt < SETTLE_TIMEOUT_MS && !closed.signal.aborted) {
      const put = await platform.put(OBJECT_KINDS.intent, name, outcome, { ifRevision })
      if (put.isOk()) return
      if (put.error instanceof PlatformConflict) {
        const current = put.error.current === null ? undefined : parseIntent(put.error.current)
        const isOwnIntent = current?.record.run === outcome.run && current.record.state === 'open'
        if (!isOwnIntent) return
        ifRevision = current.revision
        continue
      }
      await clock.sleep(backoffMs, closed.signal)
      backoffMs = Math.min(MAX_SETTLE_BACKOFF_MS, backoffMs * 2)
    }
    log.error({ intent: name, state: outcome.state }, 'stopped retrying to record the outcome of an intent')
  }

  function createPlatformRefusal (name: string | undefined, cause: PlatformError): RefusalError {
    // This send has not run, but an earlier one on this instance may have.
    const own = name === undefined ? undefined : ownRuns.get(name)
    if (own?.state === 'running') return createInProgressRefusal()
    return new RefusalError('platformDown', { detail: 'this send was not run: its intent cannot be recorded', cause })
  }

  async function waitForIdle (signal: AbortSignal): Promise<void> {
    if (ownRuns.size === 0 || signal.aborted) return
    await new Promise<void>((resolve) => {
      onIdle = resolve
      signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  return {
    find: (req) => new ResultAsync(find(req)),
    open: (req, revision) => new ResultAsync(open(req, revision)),
    stateOf: findRunState,
    waitUntilSettled: waitForIdle,
    close: () => closed.abort()
  }
}

/** Records the outcome of a run that ended in a refusal. */
export function settleRefusal (permit: RunPermit | undefined, refusal: RefusalError): void {
  permit?.settle({ state: refusal.outcome === 'not_run' ? 'notRun' : 'unknown' })
}

interface Intent {
  record: IntentRecord
  revision: number
}

function parseIntent (object: StoredObject): Intent {
  return { record: intentRecord.parse(object.value), revision: object.revision }
}

function toLookupResult ({ answer }: IntentRecord): Result<IntentLookup, RefusalError> {
  if (answer === undefined) return err(createUnknownRefusal())
  if (answer.kind !== 'tooLarge') return ok({ answer, revision: 0 })
  return err(new RefusalError('onceUnknown', {
    outcome: 'unknown', detail: 'the request ran to its end; its answer was too large to keep'
  }))
}

function mayHaveTakenEffect (cause: PlatformError): boolean {
  return (cause instanceof PlatformUnavailable || cause instanceof PlatformConflict) && cause.maybeApplied
}

function createInProgressRefusal (): RefusalError {
  return new RefusalError('onceInProgress', { outcome: 'unknown', retryAfterMs: IN_PROGRESS_RETRY_MS })
}

function createUnknownRefusal (): RefusalError {
  return new RefusalError('onceUnknown', { outcome: 'unknown' })
}
