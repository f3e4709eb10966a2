/** Acknowledges requests of the operator to retire the machine of an instance that stores no data. */
import { describeCause, type Clock, type Log, type PlatformClient } from '../../shared'

export interface RetirementOptions {
  platform: Pick<PlatformClient, 'listAll' | 'watch' | 'putStatus'>
  /** Kind of the request objects, which are named after instances. */
  kind: string
  instance: string
  /** Status that allows the machine to be removed. */
  doneStatus: unknown
  clock: Clock
  log: Log
  signal: AbortSignal
}

/** Longest time for which the platform may keep a watch waiting, in milliseconds. */
const WATCH_WAIT_MS = 15_000
const MAX_PAUSE_MS = 2000
const FIRST_PAUSE_MS = 200

/** Watches for requests and acknowledges them; resolves when the signal aborts. */
export async function answerRetirements (options: RetirementOptions): Promise<void> {
  const { platform, kind, instance, clock, log, signal } = options
  let acknowledgedRevision = -1
  let since: number | undefined
  let failures = 0

  while (!signal.aborted) {
    const isSuccessful = since === undefined ? await readRequests() : await watchRequests(since)
    failures = isSuccessful ? 0 : failures + 1
    if (!isSuccessful) await clock.sleep(Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures), signal)
  }

  /** Reads the current objects, for a request that was written before the watch began. */
  async function readRequests (): Promise<boolean> {
    const page = await platform.listAll(kind)
    if (page.isErr()) return reportFailure(page.error)
    since = page.value.revision
    const request = page.value.items.find(({ name }) => name === instance)
    return request === undefined || await acknowledge(request.revision)
  }

  async function watchRequests (from: number): Promise<boolean> {
    const batch = await platform.watch(kind, { since: from, waitMs: WATCH_WAIT_MS, signal })
    if (batch.isErr()) return signal.aborted || reportFailure(batch.error)
    if (batch.value.compacted === true) return await readRequests()
    since = Math.max(from, batch.value.revision)
    const event = batch.value.events.findLast(({ type, name }) => type === 'put' && name === instance)
    return event === undefined || await acknowledge(event.revision)
  }

  async function acknowledge (revision: number): Promise<boolean> {
    if (revision <= acknowledgedRevision) return true
    const written = await platform.putStatus(kind, instance, options.doneStatus)
    if (written.isErr()) {
      since = undefined
      return reportFailure(written.error)
    }
    // The write of the status itself produces the next revision of the object.
    acknowledgedRevision = revision + 1
    log.info({ revision }, 'retirement request acknowledged: no data is stored on this machine')
    return true
  }

  function reportFailure (cause: Error): boolean {
    log.warn({ cause: describeCause(cause) }, 'retirement requests could not be read or acknowledged')
    return false
  }
}
