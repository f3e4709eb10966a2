/** Runs a live job that must not be repeated, and records how it ended. */
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow'
import type { EngineEvent, RefusalError } from '../../shared'
import { settleRefused, type OnceRecords, type OnceRequest, type OnceTicket } from '../once'
import type { CompletionAnswer, CompletionIdentity } from './completionFormat'
import type { LiveDeps, LiveJob, LiveRun } from './liveJob'
import { createLiveRun } from './liveRun'

/**
 * Starts the job, or replays its recorded answer. The job runs to its end when its caller goes away, so that a
 * resend gets the answer.
 */
export async function startOnceRun (
  job: LiveJob,
  identity: CompletionIdentity,
  req: OnceRequest,
  deps: LiveDeps & { once: OnceRecords }
): Promise<Result<LiveRun, RefusalError>> {
  const found = await deps.once.find(req)
  if (found.isErr()) return err(found.error)
  const { answer, revision } = found.value
  if (answer?.kind === 'completion') return ok(replay(answer.answer))
  let ticket: OnceTicket | undefined
  const run = createLiveRun({
    ...job,
    repeatable: false,
    beforeDispatch: () => deps.once.open(req, revision).map((opened) => {
      ticket = opened
      return undefined
    })
  }, deps)

  function settle (outcome: Result<CompletionAnswer, RefusalError>): void {
    if (outcome.isErr()) return settleRefused(ticket, outcome.error)
    ticket?.settle({ state: 'done', answer: { kind: 'completion', answer: outcome.value } })
  }
  return ok(runToEnd(run, identity, settle))
}

type Event = Result<EngineEvent, RefusalError>

/** Reads a run at its own pace and lets its caller follow. The answer is bounded by the tokens asked for. */
function runToEnd (
  run: LiveRun,
  identity: CompletionIdentity,
  settle: (outcome: Result<CompletionAnswer, RefusalError>) => void
): LiveRun {
  const events: Event[] = []
  let taken = 0
  let wake = (): void => undefined

  async function pump (): Promise<void> {
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
      wake()
      if (event.isErr() || event.value.type === 'end') return
    }
  }

  async function next (): Promise<Event> {
    while (taken >= events.length) await new Promise<void>((resolve) => { wake = resolve })
    return events[taken++]!
  }

  pump().catch(() => undefined)
  return { next: () => new ResultAsync(next()), cancel: async () => undefined }
}

function replay (answer: CompletionAnswer): LiveRun {
  const { text, finishReason, promptTokens, completionTokens } = answer
  const events: EngineEvent[] = [
    ...(text === '' ? [] : [{ type: 'token' as const, index: 0, text }]),
    { type: 'end', finishReason, promptTokens, completionTokens }
  ]
  return { next: () => okAsync(events.shift()!), cancel: async () => undefined }
}
