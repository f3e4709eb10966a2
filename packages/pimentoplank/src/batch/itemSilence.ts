/** Waits for items whose streams are silent. */
import { err, type Result } from 'neverthrow'
import {
  EngineError, findRunVersion, MINUTE_MS, SECOND_MS, waitOutSilence, type EngineEvent, type SlotGrant
} from '../shared'
import { acquireSlot, computeSlotPauseMs, MIN_SLOT_PAUSE_MS } from './itemSlot'
import { getKind, toResumePoint, type ItemRun } from './itemTask'
import { getBegunText, isFitTarget, isFitTargetLeft } from './itemVersion'

/** Time without data after which a new connection to a silent stream counts as silent, too. */
const RECONNECT_TIMEOUT_MS = 4 * SECOND_MS
/** Silence after which an at-most-once item, which can't go on elsewhere, ends as unknown. */
const MAX_PINNED_SILENCE_MS = 5 * MINUTE_MS

/** Waits for the silent stream of an item; resolves with `streamSilent` when it is given up. */
export async function waitForItem (run: ItemRun): Promise<Result<EngineEvent, EngineError>> {
  const { context, task, target, progress, stopSignal } = run
  const { item, requestId } = task
  const end = await waitOutSilence<SlotGrant | 'none'>({
    stream: run.stream,
    clock: context.clock,
    attach: async (signal) => {
      const { streamId } = run.stream
      const begun = getBegunText(progress.tokens, progress.version)
      if (streamId === '' || !isFitTarget(context.membership, target, begun)) return undefined
      const started = await context.engines.start(target, {
        requestId,
        kind: getKind(item),
        body: item.body,
        resume: toResumePoint(streamId, target, progress),
        attachOnly: item.noRepeat
      }, { signal: AbortSignal.any([stopSignal, signal]), firstTokenTimeoutMs: RECONNECT_TIMEOUT_MS })
      return started.unwrapOr(undefined)
    },
    findReplacement: async (signal) => await findOtherSlot(run, AbortSignal.any([stopSignal, signal])),
    release: (grant) => { if (grant !== 'none') grant.release({ result: 'revoked' }) }
  })
  const { tokens } = progress
  context.log.info({ req: requestId, target: target.id, tokens, end: end.type }, 'silence of an item ended')
  if (end.type === 'replaced') {
    run.replacement = end.replacement === 'none' ? undefined : end.replacement
    return err(new EngineError('streamSilent', { reached: true }))
  }
  if (end.stream !== run.stream) run.stream.disconnect()
  run.stream = end.stream
  run.version = findRunVersion(context.membership, target, end.stream)
  return end.event
}

/** Seeks a slot for an item that is silent on its target; `none` when its run must be given up without one. */
async function findOtherSlot (
  { context, task, target, progress }: ItemRun,
  signal: AbortSignal
): Promise<SlotGrant | 'none' | undefined> {
  const { clock, config, membership } = context
  const begun = getBegunText(progress.tokens, progress.version)
  if (task.item.noRepeat) {
    await clock.sleep(MAX_PINNED_SILENCE_MS, signal)
    return signal.aborted ? undefined : 'none'
  }
  while (!signal.aborted) {
    const model = config.current().models.get(String(task.item.body.model))
    if (model === undefined || !isFitTargetLeft(membership, model.service, begun)) return 'none'
    const granted = await acquireSlot(context, task, model, signal, { without: target.id, begun })
    if (granted.isOk() && isFitTarget(membership, granted.value.target, begun)) return granted.value
    if (granted.isOk()) granted.value.release({ result: 'revoked' })
    await clock.sleep(granted.isErr() ? computeSlotPauseMs(granted.error) : MIN_SLOT_PAUSE_MS, signal)
  }
  return undefined
}
