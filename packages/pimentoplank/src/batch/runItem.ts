/** Runs one item, from the request for a slot to the item's outcome. */
import { err, type Result } from 'neverthrow'
import {
  EngineError, hashPrompt, MINUTE_MS, SECOND_MS,
  type BatchResult, type ChunkItem, type EngineErrorKind, type EngineEvent, type EngineStream,
  type ModelEntry, type PromptHashes, type RefusalError,
  type ResumePoint, type SlotGrant, type SlotReport, type Target
} from '../shared'
import { ENGINE_ERROR_TRAITS } from './engineErrors'
import { createDoneResult, createFailedResult, createUnknownResult } from './itemResult'
import type { RunnerContext } from './context'

/** Most recently failed targets that the next run of an item avoids. */
const MAX_EXCLUDED = 2
const MIN_SLOT_PAUSE_MS = 100
const MAX_SLOT_PAUSE_MS = 5 * SECOND_MS
const MISSING_MODEL_PAUSE_MS = SECOND_MS
/** Pause of an item while a part of its prompt is known to crash targets. */
const CRASHING_PART_PAUSE_MS = 5 * SECOND_MS
/** An item that crashes its target does so as its answer begins, before this many tokens. */
const BEGINNING_TOKENS = 2
/** Upper bound of the pause after a run that broke off, which doubles with each such run. */
const MAX_RETRY_PAUSE_MS = 5 * MINUTE_MS

/** State of an item until it has a result. */
export interface ItemTask {
  index: number
  item: ChunkItem
  account: string
  requestId: string
  hashes: PromptHashes
  /** Number of runs that the target reported as failed. */
  failedRuns: number
  /** Number of runs that broke off, for example as the target crashed. */
  brokenRuns: number
  /** Earliest time of the next attempt, on the runner's clock. */
  notBefore: number
  /** True once any part of the item may have reached a target. */
  isDispatched: boolean
  /** True after a target crashed while running it; at most one such item runs at a time. */
  isSuspect: boolean
  /** True while the item waits for a slot. */
  isWaiting: boolean
  /** Ids of targets that the next run avoids. */
  excluded: string[]
  resume?: ResumePoint
  /** Time at which the item's model was first missing from the configuration. */
  modelMissingSince?: number
}

/** `retry`: try again, not before `notBefore`; `parked`: no slot was available. */
export type ItemOutcome = { type: 'result', result: BatchResult } | { type: 'retry' } | { type: 'parked' }

/** Creates the initial task of an item. */
export function createItemTask (chunk: string, account: string, index: number, item: ChunkItem): ItemTask {
  return {
    index,
    item,
    account,
    requestId: `${chunk}.${index}`,
    hashes: hashPrompt(String(item.body.model), item.body),
    failedRuns: 0,
    brokenRuns: 0,
    notBefore: 0,
    isDispatched: false,
    isSuspect: false,
    isWaiting: false,
    excluded: []
  }
}

export interface RunItemOptions {
  /** Aborts when processing of the chunk ends; a running stream is then cancelled on the engine. */
  signal: AbortSignal
  /** Checks that the runner still owns the chunk; called after the slot is granted, since that wait may be long. */
  mayDispatch: () => Promise<boolean>
}

/** Tries an item once. */
export async function runItem (
  context: RunnerContext,
  task: ItemTask,
  { signal, mayDispatch }: RunItemOptions
): Promise<ItemOutcome> {
  const { config, clock, metrics } = context
  const { item } = task
  const model = config.current().models.get(String(item.body.model))
  if (model === undefined) return waitForModel(context, task)

  if (isPinned(task) && context.membership.target(task.resume?.targetId ?? '') === undefined) {
    return toOutcome(createUnknownResult(item, 'the target that ran it is gone'))
  }
  if (context.quarantine.hasCrashingParts(task.hashes.partHashes)) {
    task.notBefore = clock.now() + CRASHING_PART_PAUSE_MS
    metrics.count('batch.crashingParts')
    return { type: 'parked' }
  }
  const granted = await acquireSlot(context, task, model, signal)
  if (granted.isErr()) {
    const pauseMs = Math.max(MIN_SLOT_PAUSE_MS, Math.min(granted.error.retryAfterMs ?? 0, MAX_SLOT_PAUSE_MS))
    task.notBefore = clock.now() + pauseMs
    metrics.count(`batch.slots.refused.${granted.error.reason}`)
    return { type: 'parked' }
  }
  const grant = granted.value
  const isOtherTarget = isPinned(task) && task.resume?.targetId !== grant.target.id
  // A process that was suspended while it waited may have lost the chunk without having learned of it yet.
  const isHeld = await mayDispatch()
  if (signal.aborted || isOtherTarget || !isHeld) {
    grant.release({ result: 'notRun' })
    task.notBefore = clock.now() + MIN_SLOT_PAUSE_MS
    return { type: 'retry' }
  }
  return await runOnSlot(context, task, grant, signal)
}

function toOutcome (result: BatchResult): ItemOutcome {
  return { type: 'result', result }
}

/** A dispatched at-most-once item may only resume on the target that ran it, where it continues the same run. */
function isPinned (task: ItemTask): boolean {
  return task.item.noRepeat && task.isDispatched
}

async function acquireSlot (
  { config, membership, quarantine, slots, settings }: RunnerContext,
  task: ItemTask,
  model: ModelEntry,
  signal: AbortSignal
): Promise<Result<SlotGrant, RefusalError>> {
  const { hashes, resume } = task
  const others = membership.targets(model.service).map(({ id }) => id).filter((id) => id !== resume?.targetId)
  task.isWaiting = true
  const granted = await slots.acquire({
    service: model.service,
    model: model.name,
    workClass: 'batch',
    account: task.account,
    weight: config.current().accounts.get(task.account)?.weight ?? 1,
    deadlineMs: settings.slotWaitMs,
    prefixHash: hashes.prefixHash,
    excluded: isPinned(task) ? others : [...task.excluded, ...quarantine.findTargetsWithSuspects(hashes.contentHash)],
    preferred: resume?.targetId
  }, { signal })
  task.isWaiting = false
  return granted
}

function waitForModel ({ clock, settings }: RunnerContext, task: ItemTask): ItemOutcome {
  const now = clock.now()
  task.modelMissingSince ??= now
  task.notBefore = now + MISSING_MODEL_PAUSE_MS
  if (now - task.modelMissingSince < settings.missingModelMs) return { type: 'parked' }
  return toOutcome(
    createFailedResult(task.item, 'unknownModel', `no model ${String(task.item.body.model)} is in service`)
  )
}

interface Progress {
  text: string
  tokens: number
  firstTokenAt?: number
  lastTokenAt?: number
}

async function runOnSlot (
  context: RunnerContext,
  task: ItemTask,
  grant: SlotGrant,
  signal: AbortSignal
): Promise<ItemOutcome> {
  const { engines, quarantine, clock } = context
  const { target } = grant
  const { item, requestId, resume } = task
  // The engine may have finished the stream just before it is cancelled; resuming it would then run its tail twice.
  const stopSignal = item.noRepeat ? signal : AbortSignal.any([signal, grant.revoked])
  const startedAt = clock.now()
  const progress: Progress = { text: resume?.text ?? '', tokens: resume?.tokens ?? 0 }
  let report: SlotReport = { result: 'failed' }
  task.isDispatched = true
  const endRun = quarantine.trackRun(task.hashes.contentHash, target.id)
  try {
    const kind = item.endpoint === '/v1/completions' ? 'completion' : 'chat'
    const started = await engines.start(target, { requestId, kind, body: item.body, resume }, { signal: stopSignal })
    if (started.isErr()) {
      report = { result: ENGINE_ERROR_TRAITS[started.error.kind].report }
      return await handleRunError(context, task, { target, error: started.error, progress })
    }
    const stream = started.value
    const end = await readStream(stream, progress, stopSignal, clock.now)
    if (hasBegun(task, progress)) quarantine.recordAnswer(task.hashes.partHashes)
    if (end.isOk()) {
      report = { result: 'done', ...computeTimings(progress, startedAt) }
      return toOutcome(createDoneResult(item, requestId, progress.text, end.value))
    }
    if (end.error.kind === 'aborted') await stream.cancel()
    report = { result: ENGINE_ERROR_TRAITS[end.error.kind].report }
    return await handleRunError(context, task, { target, error: end.error, progress, streamId: stream.streamId })
  } finally {
    endRun()
    grant.release(report)
  }
}

/** True when the current run has delivered the first tokens. */
function hasBegun ({ resume }: ItemTask, { tokens }: Progress): boolean {
  return tokens - (resume?.tokens ?? 0) >= BEGINNING_TOKENS
}

type StreamEnd = Result<Extract<EngineEvent, { type: 'end' }>, EngineError>

/** Reads a stream until it ends, fails or is stopped. */
async function readStream (
  stream: EngineStream,
  progress: Progress,
  stopSignal: AbortSignal,
  now: () => number
): Promise<StreamEnd> {
  const stopped = new Promise<StreamEnd>((resolve) => {
    const resolveAborted = (): void => resolve(err(new EngineError('aborted', { reached: true })))
    if (stopSignal.aborted) resolveAborted()
    else stopSignal.addEventListener('abort', resolveAborted, { once: true })
  })
  for (;;) {
    const event = await Promise.race([stream.next(), stopped])
    if (event.isErr()) return event as StreamEnd
    if (event.value.type === 'end') return event as StreamEnd
    progress.text += event.value.text
    progress.tokens = event.value.index + 1
    progress.firstTokenAt ??= now()
    progress.lastTokenAt = now()
  }
}

function computeTimings ({ firstTokenAt, lastTokenAt, tokens }: Progress, startedAt: number): Partial<SlotReport> {
  if (firstTokenAt === undefined || lastTokenAt === undefined) return { tokens }
  const tokenGapMs = tokens > 1 ? (lastTokenAt - firstTokenAt) / (tokens - 1) : undefined
  return { firstTokenMs: firstTokenAt - startedAt, tokenGapMs, tokens }
}

interface FailedRun {
  target: Target
  error: EngineError
  progress: Progress
  streamId?: string
}

/** Decides whether an item whose run failed or never started is retried, and updates its task. */
async function handleRunError (context: RunnerContext, task: ItemTask, run: FailedRun): Promise<ItemOutcome> {
  const { clock, metrics, membership, settings } = context
  const { target, error } = run
  const { item } = task
  const traits = ENGINE_ERROR_TRAITS[error.kind]
  metrics.countRetry(traits.retry)
  if (!error.reached && task.resume === undefined) task.isDispatched = false
  if (error.kind === 'rejected') return toOutcome(createFailedResult(item, 'badRequest', error.message))
  if (error.kind === 'targetLeaving') membership.markLeaving(target.id, 'ownAnswer')

  if (traits.mayBeCrash) await reportCrash(context, task, run)
  const isStreamKept = error.kind === 'aborted' && run.streamId !== undefined
  if (item.noRepeat && task.isDispatched && !isStreamKept) {
    return toOutcome(createUnknownResult(item, `its run ended as ${error.kind}`))
  }
  if (traits.countsAsFailure) task.failedRuns++
  if (task.failedRuns >= settings.itemTries) {
    return toOutcome(
      createFailedResult(item, 'targetFailed', `${task.failedRuns} runs failed, the last as ${error.message}`)
    )
  }
  if (error.kind !== 'aborted') task.excluded = [target.id, ...task.excluded].slice(0, MAX_EXCLUDED)
  task.resume = findResumePoint(run) ?? task.resume
  if (traits.mayBeCrash && !traits.countsAsFailure) task.brokenRuns++
  const pauseMs = computeRetryPauseMs(traits.pauseMs, task.brokenRuns)
  task.notBefore = clock.now() + pauseMs
  context.log.info({
    req: task.requestId,
    target: target.id,
    reason: error.kind,
    failedRuns: task.failedRuns,
    brokenRuns: task.brokenRuns,
    pauseMs
  }, 'item run ended early')
  return { type: 'retry' }
}

/**
 * Returns the pause before an item runs again, in milliseconds. It grows, since an item stays owed however many targets
 * crash under it, and might be what crashes them.
 */
function computeRetryPauseMs (pauseMs: number, brokenRuns: number): number {
  return Math.min(pauseMs * 2 ** Math.max(0, brokenRuns - 1), Math.max(pauseMs, MAX_RETRY_PAUSE_MS))
}

/** Errors after which a run can resume from the tokens received so far. */
const RESUMABLE_ERRORS: ReadonlySet<EngineErrorKind> = new Set(['aborted', 'streamCut', 'streamSilent'])

function findResumePoint ({ target, error, progress, streamId }: FailedRun): ResumePoint | undefined {
  if (streamId === undefined || !RESUMABLE_ERRORS.has(error.kind)) return undefined
  // A stream that failed before its first token has nothing to resume; the engine keeps the state of a cancelled one.
  if (error.kind !== 'aborted' && progress.tokens === 0) return undefined
  return { streamId, targetId: target.id, tokens: progress.tokens, text: progress.text }
}

/** Records a crash of the target; live requests with the same content may then be refused. */
async function reportCrash (
  { engines, quarantine }: RunnerContext,
  task: ItemTask,
  { target, error, progress }: FailedRun
): Promise<void> {
  if (!error.reached || await engines.probe(target)) return
  task.isSuspect = true
  const { contentHash, partHashes } = task.hashes
  await quarantine.recordCrash(contentHash, target.id, hasBegun(task, progress) ? [] : partHashes)
}
