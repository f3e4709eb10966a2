/** Runs an at-most-once live job and records its outcome. */
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow'
import type { EngineEvent, RefusalError } from '../../shared'
import { settleRefusal, type IntentRegistry, type OnceRequest, type RunPermit } from '../once'
import type { CompletionAnswer, CompletionIdentity } from './completionFormat'
import type { LiveDeps, LiveJob, LiveRun } from './liveJob'
import { createLiveRun } from './liveRun'

/**
 * Starts the job, or replays its recorded answer. The job runs to its end even when its caller disconnects, so that a
 * resend gets the answer.
 */
export async function startOnceRun (
  job: LiveJob,
  identity: CompletionIdentity,
  req: OnceRequest,
  deps: LiveDeps & { once: IntentRegistry }
): Promise<Result<LiveRun, RefusalError>> {
  const found = await deps.once.find(req)
  if (found.isErr()) return err(found.error)
  const { answer, revision } = found.value
  if (answer?.kind === 'completion') return ok(replayAnswer(answer.answer))
  let permit: RunPermit | undefined
  const run = createLiveRun({
    ...job,
    repeatable: false,
    beforeDispatch: () => deps.once.open(req, revision).map((opened) => {
      permit = opened
      return undefined
    })
  }, deps)

  function settle (outcome: Result<CompletionAnswer, RefusalError>): void {
    if (outcome.isErr()) return settleRefusal(permit, outcome.error)
    permit?.settle({ state: 'done', answer: { kind: 'completion', answer: outcome.value } })
  }
  return ok(runToEnd(run, identity, settle))
}

type EventResult = Result<EngineEvent, RefusalError>

/**
 * Reads a run to its end independently of its caller, who reads the buffered events. The buffer is bounded by the
 * number of tokens requested.
 */
function runToEnd (
  run: LiveRun,
  identity: CompletionIdentity,
  settle: (outcome: Result<CompletionAnswer, RefusalError>) => void
): LiveRun {
  const events: EventResult[] = []
  let readCount = 0
  let notifyReader = (): void => undefined

  async function readRun (): Promise<void> {
    let text = ''
    for (;;) {
      const event = await run.next()
      if (event.isErr()) settle(err(event.error))
      else if (event.value.type === 'token') text += event.value.text
      else {
        const { finishReason, promptTokens, completionTokens } = event.value
        settle(ok({ ...identity, text, finishReason, promptTokens, completionTokens }))
      }
      events.push(event)
      notifyReader()
      if (event.isErr() || event.value.type === 'end') return
    }
  }

  async function next (): Promise<EventResult> {
    while (readCount >= events.length) await new Promise<void>((resolve) => { notifyReader = resolve })
    return events[readCount++]!
  }

  readRun().catch(() => undefined)
  return { next: () => new ResultAsync(next()), cancel: async () => undefined }
}

function replayAnswer (answer: CompletionAnswer): LiveRun {
  const { text, finishReason, promptTokens, completionTokens } = answer
  const events: EngineEvent[] = [
    ...(text === '' ? [] : [{ type: 'token' as const, index: 0, text }]),
    { type: 'end', finishReason, promptTokens, completionTokens }
  ]
  return { next: () => okAsync(events.shift()!), cancel: async () => undefined }
}
