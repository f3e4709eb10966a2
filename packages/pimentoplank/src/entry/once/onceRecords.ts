/** Keeps requests that must not be repeated from running twice, whichever instance they are sent to. */
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { v4 as uuid } from 'uuid'
import {
  MINUTE_MS, OBJECT_KINDS, PlatformConflict, PlatformUnavailable, RefusalError, SECOND_MS,
  type Clock, type Log, type Metrics, type PlatformClient, type PlatformError, type StoredObject
} from '../../shared'
import { intentNameOf, intentRecord, type IntentRecord, type OnceRequest, type RecordedAnswer } from './intent'

/** When a resend should come back while the first send runs, in milliseconds. */
const IN_PROGRESS_RETRY_MS = SECOND_MS
/** Limit for recording an intent; the slot of the request is held meanwhile. */
const DEFAULT_OPEN_TIMEOUT_MS = 2 * SECOND_MS
const SETTLE_PAUSE_MS = 200
const SETTLE_PAUSE_MAX_MS = 10 * SECOND_MS
/** Longest time to go on trying to record an outcome. */
const SETTLE_LIMIT_MS = 30 * MINUTE_MS

/** What the owner of an intent knows about its run. */
export type RunState = 'running' | 'notDispatched' | 'forgotten'

export interface OnceRecordsOptions {
  platform: PlatformClient
  /** Peer address under which other instances can ask about the runs of this one. */
  ownAddress: () => string
  /** Asks another instance about a run; `forgotten` when it does not answer. */
  askOwner: (address: string, intent: string, run: string) => Promise<RunState>
  /** How long an outcome is kept, in milliseconds. */
  keepMs: number
  /** Largest recorded answer, in bytes of JSON. */
  maxAnswerBytes: number
  openTimeoutMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

/** What is known about a request as it comes in. */
export interface OnceFinding {
  /** The answer of an earlier send. */
  answer?: RecordedAnswer
  /** Revision to open the intent at, when there is no answer. */
  revision: number
}

export type Settlement =
  | { state: 'done', answer: RecordedAnswer }
  | { state: 'notRun' }
  | { state: 'unknown' }

/** The right to dispatch a request once. */
export interface OnceTicket {
  /** Records how the run ended; goes on in the background until the platform has it. */
  settle: (settlement: Settlement) => void
}

export interface OnceRecords {
  /** Looks for an earlier send; refuses while it runs, when its outcome is unknown, or for other content. */
  find: (req: OnceRequest) => ResultAsync<OnceFinding, RefusalError>
  /** Records the intent. Only with the ticket in hand may the request be dispatched. */
  open: (req: OnceRequest, revision: number) => ResultAsync<OnceTicket, RefusalError>
  /** What this instance knows about a run of its own. */
  stateOf: (intent: string, run: string) => RunState
  /** Resolves when no run goes on and every outcome is recorded, or with the signal. */
  settled: (signal: AbortSignal) => Promise<void>
  /** Gives up on outcomes that are not recorded yet. */
  close: () => void
}

interface OwnRun {
  run: string
  state: Exclude<RunState, 'forgotten'>
}

/** Creates the records of an instance. */
export function createOnceRecords (options: OnceRecordsOptions): OnceRecords {
  const { platform, clock, log, metrics } = options
  /** Runs whose outcome is not yet recorded, by intent name. */
  const ownRuns = new Map<string, OwnRun>()
  let onIdle = (): void => undefined
  const closed = new AbortController()

  function stateOf (intent: string, run: string): RunState {
    const own = ownRuns.get(intent)
    return own?.run === run ? own.state : 'forgotten'
  }

  async function find (req: OnceRequest): Promise<Result<OnceFinding, RefusalError>> {
    const name = intentNameOf(req)
    const first = await read(name)
    if (first.isErr()) return err(first.error)
    if (first.value === undefined) return ok({ revision: 0 })
    const { record } = first.value
    const free = ok<OnceFinding, RefusalError>({ revision: first.value.revision })
    // The revision of an expired record still guards the next intent.
    if (record.expiresAt <= clock.wallTime()) return free
    if (record.contentHash !== req.contentHash) return err(new RefusalError('onceKeyReused'))
    if (record.state === 'notRun') return free
    if (record.state !== 'open') return readOutcome(record)
    const state = await askAbout(name, record)
    if (state === 'running') return err(inProgress())
    if (state === 'notDispatched') return free
    return await readAgain(name, first.value)
  }

  /** The owner forgets a run once its outcome is recorded, so the record may have changed since it was read. */
  async function readAgain (name: string, before: Intent): Promise<Result<OnceFinding, RefusalError>> {
    const again = await read(name)
    if (again.isErr()) return err(again.error)
    if (again.value === undefined) return ok({ revision: 0 })
    const { record, revision } = again.value
    if (record.state === 'notRun') return ok({ revision })
    if (record.state !== 'open') return readOutcome(record)
    return err(revision === before.revision ? outcomeUnknown() : inProgress())
  }

  async function askAbout (name: string, record: IntentRecord): Promise<RunState> {
    if (record.owner === options.ownAddress()) return stateOf(name, record.run)
    return await options.askOwner(record.owner, name, record.run)
  }

  async function read (name: string): Promise<Result<Intent | undefined, RefusalError>> {
    const found = await platform.get(OBJECT_KINDS.intent, name)
    if (found.isErr()) return err(platformDown(name, found.error))
    return ok(found.value === null ? undefined : intentOf(found.value))
  }

  async function open (req: OnceRequest, revision: number): Promise<Result<OnceTicket, RefusalError>> {
    const name = intentNameOf(req)
    const record: IntentRecord = {
      contentHash: req.contentHash,
      state: 'open',
      run: uuid(),
      owner: options.ownAddress(),
      expiresAt: clock.wallTime() + options.keepMs
    }
    if (ownRuns.has(name)) return err(inProgress())
    const own: OwnRun = { run: record.run, state: 'running' }
    ownRuns.set(name, own)
    const put = await putIntent(name, record, revision)
    if (put.isOk()) return ok(createTicket(name, own, record, put.value.revision))
    if (mayApply(put.error)) {
      // The intent may stand in the platform although nothing will run: say so there, and to whoever asks meanwhile.
      metrics.count('once.unsettledIntents')
      settle(name, own, record, revision, { state: 'notRun' })
    } else {
      forget(name, own)
    }
    if (put.error instanceof PlatformConflict) return err(inProgress())
    return err(platformDown(undefined, put.error))
  }

  async function putIntent (
    name: string,
    record: IntentRecord,
    ifRevision: number
  ): Promise<Result<StoredObject, PlatformError>> {
    const limit = new AbortController()
    const done = new AbortController()
    clock.sleep(options.openTimeoutMs ?? DEFAULT_OPEN_TIMEOUT_MS, done.signal).then(() => {
      if (!done.signal.aborted) limit.abort()
    })
    const put = await platform.put(OBJECT_KINDS.intent, name, record, { ifRevision, signal: limit.signal })
    done.abort()
    return put
  }

  function createTicket (name: string, own: OwnRun, record: IntentRecord, revision: number): OnceTicket {
    let used = false
    return {
      settle: (settlement) => {
        if (used) return
        used = true
        settle(name, own, record, revision, bounded(settlement))
      }
    }
  }

  function bounded (settlement: Settlement): Settlement {
    if (settlement.state !== 'done') return settlement
    const isTooLarge = JSON.stringify(settlement.answer).length > options.maxAnswerBytes
    return isTooLarge ? { state: 'done', answer: { kind: 'tooLarge' } } : settlement
  }

  function settle (name: string, own: OwnRun, record: IntentRecord, revision: number, settlement: Settlement): void {
    own.state = settlement.state === 'notRun' ? 'notDispatched' : 'running'
    writeOutcome(name, { ...record, ...settlement }, revision)
      .catch((cause) => log.error({ err: cause, intent: name }, 'the outcome could not be recorded'))
      .finally(() => forget(name, own))
  }

  function forget (name: string, own: OwnRun): void {
    if (ownRuns.get(name) === own) ownRuns.delete(name)
    if (ownRuns.size === 0) onIdle()
  }

  /** Replaces the open intent of this run, wherever its own write has got to. */
  async function writeOutcome (name: string, outcome: IntentRecord, revision: number): Promise<void> {
    const startedAt = clock.now()
    let ifRevision = revision
    let pauseMs = SETTLE_PAUSE_MS
    while (clock.now() - startedAt < SETTLE_LIMIT_MS && !closed.signal.aborted) {
      const put = await platform.put(OBJECT_KINDS.intent, name, outcome, { ifRevision })
      if (put.isOk()) return
      if (put.error instanceof PlatformConflict) {
        const current = put.error.current === null ? undefined : intentOf(put.error.current)
        const isOwnIntent = current?.record.run === outcome.run && current.record.state === 'open'
        if (!isOwnIntent) return
        ifRevision = current.revision
        continue
      }
      await clock.sleep(pauseMs, closed.signal)
      pauseMs = Math.min(SETTLE_PAUSE_MAX_MS, pauseMs * 2)
    }
    log.error({ intent: name, state: outcome.state }, 'gave up recording an outcome')
  }

  function platformDown (name: string | undefined, cause: PlatformError): RefusalError {
    // This send has not run; an earlier one that this instance knows of may have.
    const own = name === undefined ? undefined : ownRuns.get(name)
    if (own?.state === 'running') return inProgress()
    return new RefusalError('platformDown', { detail: 'this send was not run: its intent cannot be recorded', cause })
  }

  async function settled (signal: AbortSignal): Promise<void> {
    if (ownRuns.size === 0 || signal.aborted) return
    await new Promise<void>((resolve) => {
      onIdle = resolve
      signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  return {
    find: (req) => new ResultAsync(find(req)),
    open: (req, revision) => new ResultAsync(open(req, revision)),
    stateOf,
    settled,
    close: () => closed.abort()
  }
}

/** Records a run that ended in a refusal. */
export function settleRefused (ticket: OnceTicket | undefined, refusal: RefusalError): void {
  ticket?.settle({ state: refusal.outcome === 'not_run' ? 'notRun' : 'unknown' })
}

interface Intent {
  record: IntentRecord
  revision: number
}

function intentOf (object: StoredObject): Intent {
  return { record: intentRecord.parse(object.value), revision: object.revision }
}

function readOutcome ({ answer }: IntentRecord): Result<OnceFinding, RefusalError> {
  if (answer === undefined) return err(outcomeUnknown())
  if (answer.kind !== 'tooLarge') return ok({ answer, revision: 0 })
  return err(new RefusalError('onceUnknown', {
    outcome: 'unknown', detail: 'the request ran to its end; its answer was too large to keep'
  }))
}

function mayApply (cause: PlatformError): boolean {
  return (cause instanceof PlatformUnavailable || cause instanceof PlatformConflict) && cause.maybeApplied
}

function inProgress (): RefusalError {
  return new RefusalError('onceInProgress', { outcome: 'unknown', retryAfterMs: IN_PROGRESS_RETRY_MS })
}

function outcomeUnknown (): RefusalError {
  return new RefusalError('onceUnknown', { outcome: 'unknown' })
}
