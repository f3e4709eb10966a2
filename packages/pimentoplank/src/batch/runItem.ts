/** Runs one item, from the request for a slot to the item's outcome. */
import { err, type Result } from 'neverthrow'
import {
  EngineError, findRunVersion, MINUTE_MS, SECOND_MS,
  type BatchResult, type EngineErrorKind, type EngineEvent, type EngineRequest, type ResumePoint, type SlotGrant,
  type SlotReport, type Target
} from '../shared'
import type { RunnerContext } from './context'
import { ENGINE_ERROR_TRAITS } from './engineErrors'
import { createDoneResult, createFailedResult, createUnknownResult } from './itemResult'
import { waitForItem } from './itemSilence'
import { acquireSlot, computeSlotPauseMs, MIN_SLOT_PAUSE_MS } from './itemSlot'
import { findUnfitTargets, isFitTarget, isFitTargetLeft } from './itemVersion'
import { getKind, isPinned, toResumePoint, type ItemRun, type ItemTask, type Progress } from './itemTask'

/** Most recently failed targets that the next run of an item avoids. */
const MAX_EXCLUDED = 2
const MISSING_MODEL_PAUSE_MS = SECOND_MS
/** Pause of an item while a part of its prompt is known to crash targets. */
const CRASHING_PART_PAUSE_MS = 5 * SECOND_MS
/** An item that crashes its target does so as its answer begins, before this many tokens. */
const BEGINNING_TOKENS = 2
/** Upper bound of the pause after a run that broke off, which doubles with each such run. */
const MAX_RETRY_PAUSE_MS = 5 * MINUTE_MS

/** `retry`: try again, not before `notBefore`; `parked`: no slot was available. */
export type ItemOutcome = { type: 'result', result: BatchResult } | { type: 'retry' } | { type: 'parked' }

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
  const { config, clock, membership, metrics } = context
  const { item } = task
  const model = config.current().models.get(String(item.body.model))
  if (model === undefined) return waitForModel(context, task)

  if (isPinned(task)) {
    const target = membership.target(task.resume?.targetId ?? '')
    if (target === undefined) return toOutcome(createUnknownResult(item, 'the target that ran it is gone'))
    if (!isFitTarget(membership, target, task.resume)) {
      return toOutcome(createUnknownResult(item, 'the target that ran it has another software version now'))
    }
  }
  if (!isFitTargetLeft(membership, model.service, task.resume)) beginAnew(context, task)
  if (context.quarantine.hasCrashingParts(task.hashes.partHashes)) {
    task.notBefore = clock.now() + CRASHING_PART_PAUSE_MS
    metrics.count('batch.crashingParts')
    return { type: 'parked' }
  }
  const granted = await acquireSlot(context, task, model, signal)
  if (granted.isErr()) {
    task.notBefore = clock.now() + computeSlotPauseMs(granted.error)
    metrics.count(`batch.slots.refused.${granted.error.reason}`)
    return { type: 'parked' }
  }
  const grant = granted.value
  const isOtherTarget = isPinned(task) && task.resume?.targetId !== grant.target.id
  // The target may have been replaced by one of another version during the wait.
  const isUnfit = !isFitTarget(membership, grant.target, task.resume)
  // A process that was suspended while it waited may have lost the chunk without having learned of it yet.
  const isHeld = await mayDispatch()
  if (signal.aborted || isOtherTarget || isUnfit || !isHeld) {
    grant.release({ result: 'revoked' })
    task.notBefore = clock.now() + MIN_SLOT_PAUSE_MS
    return { type: 'retry' }
  }
  return await runOnSlot(context, task, grant, { signal, mayDispatch })
}

/** Drops the text of an item that no target of its software version is left to continue. */
function beginAnew ({ log, metrics }: RunnerContext, task: ItemTask): void {
  const { tokens, softwareVersion: version } = task.resume ?? {}
  log.info({ req: task.requestId, tokens, version }, 'item begins anew: no target of its version is left')
  metrics.count('batch.items.begunAnew')
  task.resume = undefined
}

function toOutcome (result: BatchResult): ItemOutcome {
  return { type: 'result', result }
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

async function runOnSlot (
  context: RunnerContext,
  task: ItemTask,
  grant: SlotGrant,
  { signal, mayDispatch }: RunItemOptions
): Promise<ItemOutcome> {
  const { engines, quarantine, clock } = context
  const { target } = grant
  const { item, requestId, resume } = task
  // The engine may have finished the stream just before it is cancelled; resuming it would then run its tail twice.
  const stopSignal = item.noRepeat ? signal : AbortSignal.any([signal, grant.revoked])
  const startedAt = clock.now()
  const progress: Progress = { text: resume?.text ?? '', tokens: resume?.tokens ?? 0, version: resume?.softwareVersion ?? {} }
  let report: SlotReport = { result: 'failed' }
  let moved: SlotGrant | undefined
  task.isDispatched = true
  const endRun = quarantine.trackRun(task.hashes.contentHash, target.id)
  try {
    const req: EngineRequest = { requestId, kind: getKind(item), body: item.body, resume }
    const started = await engines.start(target, req, { signal: stopSignal })
    if (started.isErr()) {
      report = { result: ENGINE_ERROR_TRAITS[started.error.kind].report }
      return await handleRunError(context, task, { target, error: started.error, progress })
    }
    const version = findRunVersion(context.membership, target, started.value)
    const run: ItemRun = { context, task, target, progress, version, stream: started.value, stopSignal }
    const end = await readStream(run)
    const { stream } = run
    if (hasBegun(task, progress)) quarantine.recordAnswer(task.hashes.partHashes)
    if (end.isOk()) {
      report = { result: 'done', ...computeTimings(progress, startedAt) }
      return toOutcome(createDoneResult(item, requestId, progress.text, end.value))
    }
    if (end.error.kind === 'aborted') await stream.cancel()
    if (end.error.kind === 'streamSilent') stream.cancel().catch(() => undefined)
    report = { result: ENGINE_ERROR_TRAITS[end.error.kind].report }
    moved = run.replacement
    const failure = { target, error: end.error, progress, streamId: stream.streamId }
    const outcome = await handleRunError(context, task, failure)
    if (moved === undefined || outcome.type === 'result') return outcome
  } finally {
    endRun()
    grant.release(report)
  }
  const mayMove = !signal.aborted && !moved.revoked.aborted && await mayDispatch()
  if (mayMove) return await runOnSlot(context, task, moved, { signal, mayDispatch })
  moved.release({ result: 'revoked' })
  return { type: 'retry' }
}

/** True when the current run has delivered the first tokens. */
function hasBegun ({ resume }: ItemTask, { tokens }: Progress): boolean {
  return tokens - (resume?.tokens ?? 0) >= BEGINNING_TOKENS
}

type StreamEnd = Result<Extract<EngineEvent, { type: 'end' }>, EngineError>

/** Reads a stream until it ends, fails or is stopped; a silent one until it goes on or is given up. */
async function readStream (run: ItemRun): Promise<StreamEnd> {
  const { progress, stopSignal } = run
  const { now } = run.context.clock
  const stopped = new Promise<StreamEnd>((resolve) => {
    const resolveAborted = (): void => resolve(err(new EngineError('aborted', { reached: true })))
    if (stopSignal.aborted) resolveAborted()
    else stopSignal.addEventListener('abort', resolveAborted, { once: true })
  })
  for (;;) {
    const read = await Promise.race([run.stream.next(), stopped])
    const isSilent = read.isErr() && read.error.kind === 'streamSilent'
    const event = isSilent ? await Promise.race([waitForItem(run), stopped]) : read
    if (event.isErr()) return event as StreamEnd
    if (event.value.type === 'end') return event as StreamEnd
    if (progress.tokens === 0) progress.version = run.version
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

/** Whether a target can continue the item's text that is not one of those on which it failed lately. */
function isOtherFitTargetLeft ({ config, membership }: RunnerContext, task: ItemTask): boolean {
  const service = config.current().models.get(String(task.item.body.model))?.service ?? ''
  const unfit = [...findUnfitTargets(membership, service, task.resume), ...task.excluded]
  return membership.targets(service).some(({ id }) => !unfit.includes(id))
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
  // The list may lag behind the target; its own answer decides when no other target is left.
  if (error.kind === 'otherVersion' && !isOtherFitTargetLeft(context, task)) beginAnew(context, task)
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
  return toResumePoint(streamId, target, progress)
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
