/** Runs one item on one slot, from the slot's request to the item's outcome. */
import { err, type Result } from 'neverthrow'
import {
  EngineError, hashPrompt, SECOND_MS,
  type BatchResult, type ChunkItem, type EngineErrorKind, type EngineEvent, type EngineStream,
  type ModelEntry, type PromptHashes, type RefusalError,
  type ResumePoint, type SlotGrant, type SlotReport, type Target
} from '../shared'
import { ENGINE_ERROR_TRAITS } from './engineErrors'
import { doneResult, failedResult, unknownResult } from './itemResult'
import type { RunnerContext } from './context'

/** Targets that an item failed on and that its next try avoids. */
const MAX_EXCLUDED = 2
const MIN_SLOT_PAUSE_MS = 100
const MAX_SLOT_PAUSE_MS = 5 * SECOND_MS
const MISSING_MODEL_PAUSE_MS = SECOND_MS

/** An item on its way to a result. */
export interface ItemTask {
  index: number
  item: ChunkItem
  account: string
  requestId: string
  hashes: PromptHashes
  /** Runs that failed. */
  tries: number
  /** Time on the runner's clock before which the item is not tried. */
  notBefore: number
  /** True once a byte of it may have reached a target. */
  isDispatched: boolean
  /** True when a target died with it: it then runs with no other such item beside it. */
  isSuspect: boolean
  /** True while it waits for a slot. */
  isWaiting: boolean
  excluded: string[]
  resume?: ResumePoint
  /** When its model was first found not to be in service here. */
  modelMissingSince?: number
}

/** `retry`: not before the task's time; `parked`: no slot was to be had. */
export type ItemOutcome = { type: 'result', result: BatchResult } | { type: 'retry' } | { type: 'parked' }

/** Creates the task of an item. */
export function createItemTask (chunk: string, account: string, index: number, item: ChunkItem): ItemTask {
  return {
    index,
    item,
    account,
    requestId: `${chunk}.${index}`,
    hashes: hashPrompt(String(item.body.model), item.body),
    tries: 0,
    notBefore: 0,
    isDispatched: false,
    isSuspect: false,
    isWaiting: false,
    excluded: []
  }
}

export interface RunItemOptions {
  /** Aborts when the chunk's work ends; a running stream is then cancelled on the engine. */
  signal: AbortSignal
  /** Tells whether the runner still holds the chunk; asked again once there is a slot, since that may take long. */
  mayDispatch: () => Promise<boolean>
}

/** Tries an item once. */
export async function runItem (
  context: RunnerContext,
  task: ItemTask,
  { signal, mayDispatch }: RunItemOptions
): Promise<ItemOutcome> {
  const { config, quarantine, clock, metrics } = context
  const { item, hashes: { contentHash } } = task
  if (quarantine.isQuarantined(contentHash)) {
    return finish(failedResult(item, 'quarantined', 'the content crashed the targets that ran it'))
  }
  const model = config.current().models.get(String(item.body.model))
  if (model === undefined) return waitForModel(context, task)

  if (isBound(task) && context.membership.target(task.resume?.targetId ?? '') === undefined) {
    return finish(unknownResult(item, 'the target that ran it is gone'))
  }
  const granted = await acquireSlot(context, task, model, signal)
  if (granted.isErr()) {
    const pauseMs = Math.max(MIN_SLOT_PAUSE_MS, Math.min(granted.error.retryAfterMs ?? 0, MAX_SLOT_PAUSE_MS))
    task.notBefore = clock.now() + pauseMs
    metrics.count(`batch.slots.refused.${granted.error.reason}`)
    return { type: 'parked' }
  }
  const grant = granted.value
  const isElsewhere = isBound(task) && task.resume?.targetId !== grant.target.id
  // A process that was frozen while it waited may have lost the chunk, and hear of that only later.
  const isHeld = await mayDispatch()
  if (signal.aborted || isElsewhere || !isHeld) {
    grant.release({ result: 'notRun' })
    task.notBefore = clock.now() + MIN_SLOT_PAUSE_MS
    return { type: 'retry' }
  }
  return await runOnSlot(context, task, grant, signal)
}

function finish (result: BatchResult): ItemOutcome {
  return { type: 'result', result }
}

/** An item not to be repeated goes on only where it ran before; that is one run, continued. */
function isBound (task: ItemTask): boolean {
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
    excluded: isBound(task) ? others : [...task.excluded, ...quarantine.targetsWithSuspects(hashes.contentHash)],
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
  return finish(failedResult(task.item, 'unknownModel', `no model ${String(task.item.body.model)} is in service`))
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
  // A cancelled stream may have ended at the engine a moment before, and going on with it would run its rest again.
  const stop = item.noRepeat ? signal : AbortSignal.any([signal, grant.revoked])
  const startedAt = clock.now()
  const progress: Progress = { text: resume?.text ?? '', tokens: resume?.tokens ?? 0 }
  let report: SlotReport = { result: 'failed' }
  task.isDispatched = true
  const noteEnd = quarantine.noteRun(task.hashes.contentHash, target.id)
  try {
    const kind = item.endpoint === '/v1/completions' ? 'completion' : 'chat'
    const started = await engines.start(target, { requestId, kind, body: item.body, resume }, { signal: stop })
    if (started.isErr()) {
      report = { result: ENGINE_ERROR_TRAITS[started.error.kind].report }
      return await takeError(context, task, { target, error: started.error, progress })
    }
    const stream = started.value
    const end = await readStream(stream, progress, stop, clock.now)
    if (end.isOk()) {
      report = { result: 'done', ...timings(progress, startedAt) }
      return finish(doneResult(item, requestId, progress.text, end.value))
    }
    if (end.error.kind === 'aborted') await stream.cancel()
    report = { result: ENGINE_ERROR_TRAITS[end.error.kind].report }
    return await takeError(context, task, { target, error: end.error, progress, streamId: stream.streamId })
  } finally {
    noteEnd()
    grant.release(report)
  }
}

type StreamEnd = Result<Extract<EngineEvent, { type: 'end' }>, EngineError>

/** Reads a stream to its end, or until it breaks or is stopped. */
async function readStream (
  stream: EngineStream,
  progress: Progress,
  stop: AbortSignal,
  now: () => number
): Promise<StreamEnd> {
  const stopped = new Promise<StreamEnd>((resolve) => {
    const giveUp = (): void => resolve(err(new EngineError('aborted', { reached: true })))
    if (stop.aborted) giveUp()
    else stop.addEventListener('abort', giveUp, { once: true })
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

function timings ({ firstTokenAt, lastTokenAt, tokens }: Progress, startedAt: number): Partial<SlotReport> {
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

/** Decides what follows from a run that broke off or never began. */
async function takeError (context: RunnerContext, task: ItemTask, run: FailedRun): Promise<ItemOutcome> {
  const { clock, metrics, membership, settings } = context
  const { target, error } = run
  const { item } = task
  const traits = ENGINE_ERROR_TRAITS[error.kind]
  metrics.retried(traits.retry)
  if (!error.reached && task.resume === undefined) task.isDispatched = false
  if (error.kind === 'rejected') return finish(failedResult(item, 'badRequest', error.message))
  if (error.kind === 'targetLeaving') membership.noteLeaving(target.id, 'ownAnswer')

  const hasCrashed = traits.countsAsTry && await noteCrash(context, task, run)
  if (hasCrashed === 'quarantined') {
    return finish(failedResult(item, 'quarantined', 'the content crashed the targets that ran it'))
  }
  const keepsStream = error.kind === 'aborted' && run.streamId !== undefined
  if (item.noRepeat && task.isDispatched && !keepsStream) {
    return finish(unknownResult(item, `its run ended as ${error.kind}`))
  }
  if (traits.countsAsTry) task.tries++
  if (task.tries >= settings.itemTries) {
    return finish(failedResult(item, 'targetFailed', `${task.tries} runs failed, the last as ${error.message}`))
  }
  if (error.kind !== 'aborted') task.excluded = [target.id, ...task.excluded].slice(0, MAX_EXCLUDED)
  task.resume = resumePoint(run) ?? task.resume
  task.notBefore = clock.now() + traits.pauseMs
  return { type: 'retry' }
}

/** Errors after which the tokens so far are good to go on from. */
const RESUMABLE: ReadonlySet<EngineErrorKind> = new Set(['aborted', 'streamCut', 'streamSilent'])

function resumePoint ({ target, error, progress, streamId }: FailedRun): ResumePoint | undefined {
  if (streamId === undefined || !RESUMABLE.has(error.kind)) return undefined
  // A stream that broke before its first token has nothing to go on from; one that was cancelled is still kept.
  if (error.kind !== 'aborted' && progress.tokens === 0) return undefined
  return { streamId, targetId: target.id, tokens: progress.tokens, text: progress.text }
}

async function noteCrash (
  { engines, quarantine }: RunnerContext,
  task: ItemTask,
  { target, error }: FailedRun
): Promise<'suspect' | 'quarantined' | false> {
  if (!error.reached || await engines.probe(target)) return false
  task.isSuspect = true
  return await quarantine.noteCrash(task.hashes.contentHash, target.id)
}
