/** Answers the operator's request to empty the machine of an instance that keeps nothing. */
import { describeCause, type Clock, type Log, type PlatformClient } from '../../shared'

export interface RetirementOptions {
  platform: Pick<PlatformClient, 'listAll' | 'watch' | 'putStatus'>
  /** Kind of the requests; each has the name of an instance. */
  kind: string
  instance: string
  /** Status that says the machine may go. */
  doneStatus: unknown
  clock: Clock
  log: Log
  signal: AbortSignal
}

/** How long the platform may hold a watch, in milliseconds. */
const WATCH_WAIT_MS = 15_000
const MAX_PAUSE_MS = 2000
const FIRST_PAUSE_MS = 200

/** Watches for a request and answers it; resolves when the signal aborts. */
export async function answerRetirements (options: RetirementOptions): Promise<void> {
  const { platform, kind, instance, clock, log, signal } = options
  let answered = -1
  let since: number | undefined
  let failures = 0

  while (!signal.aborted) {
    const done = since === undefined ? await look() : await wait(since)
    failures = done ? 0 : failures + 1
    if (!done) await clock.sleep(Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures), signal)
  }

  /** Reads the request, for one that came before the watch. */
  async function look (): Promise<boolean> {
    const page = await platform.listAll(kind)
    if (page.isErr()) return fail(page.error)
    since = page.value.revision
    const request = page.value.items.find(({ name }) => name === instance)
    return request === undefined || await answer(request.revision)
  }

  async function wait (from: number): Promise<boolean> {
    const batch = await platform.watch(kind, { since: from, waitMs: WATCH_WAIT_MS, signal })
    if (batch.isErr()) return signal.aborted || fail(batch.error)
    if (batch.value.compacted === true) return await look()
    since = Math.max(from, batch.value.revision)
    const event = batch.value.events.findLast(({ type, name }) => type === 'put' && name === instance)
    return event === undefined || await answer(event.revision)
  }

  async function answer (revision: number): Promise<boolean> {
    if (revision <= answered) return true
    const written = await platform.putStatus(kind, instance, options.doneStatus)
    if (written.isErr()) {
      since = undefined
      return fail(written.error)
    }
    // The answer itself is the next change of the object.
    answered = revision + 1
    log.info({ revision }, 'machine may be retired: nothing is kept here')
    return true
  }

  function fail (cause: Error): boolean {
    log.warn({ cause: describeCause(cause) }, 'requests to retire cannot be followed')
    return false
  }
}
