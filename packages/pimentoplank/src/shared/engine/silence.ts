/** Waits for a silent stream, while a second connection to it or a slot on another target is sought. */
import type { Result } from 'neverthrow'
import type { Clock } from '../clock'
import type { EngineError, EngineEvent, EngineStream } from './types'

/** Pause between two attempts to connect to the stream again, in milliseconds. */
const RECONNECT_PAUSE_MS = 500

export interface SilenceOptions<Replacement> {
  /** The silent stream; it is neither closed nor cancelled. */
  stream: EngineStream
  clock: Clock
  /** Opens a second connection to the stream; undefined when that fails. The signal ends the connection. */
  attach: (signal: AbortSignal) => Promise<EngineStream | undefined>
  /**
   * Finds what can replace the stream, such as a slot on another target; called once the first attempt to connect
   * again has failed. Resolves with undefined when the stream must be waited for.
   */
  findReplacement: (signal: AbortSignal) => Promise<Replacement | undefined>
  /** Returns a replacement that is not needed. */
  release: (replacement: Replacement) => void
}

export type SilenceEnd<Replacement> =
  /** The stream went on, or ended with an error, on this connection. */
  | { type: 'event', stream: EngineStream, event: Result<EngineEvent, EngineError> }
  | { type: 'replaced', replacement: Replacement }

/** Resolves once the stream goes on or breaks, or a replacement is found, whichever is first. */
export async function waitOutSilence<Replacement> (
  options: SilenceOptions<Replacement>
): Promise<SilenceEnd<Replacement>> {
  type End = SilenceEnd<Replacement>
  const { stream, clock } = options
  const search = new AbortController()
  let connection = new AbortController()
  const found: Replacement[] = []
  let onFirstFailure = (): void => undefined
  const firstFailure = new Promise<void>((resolve) => { onFirstFailure = resolve })

  async function waitForStream (): Promise<End> {
    for (;;) {
      const event = await stream.next()
      if (event.isOk() || event.error.kind !== 'streamSilent') return { type: 'event', stream, event }
    }
  }

  async function reconnect (): Promise<End> {
    while (!search.signal.aborted) {
      connection = new AbortController()
      const attached = await options.attach(connection.signal)
      const event = await attached?.next()
      if (attached !== undefined && event?.isOk() === true && !search.signal.aborted) {
        return { type: 'event', stream: attached, event }
      }
      if (attached !== undefined) discard(attached)
      onFirstFailure()
      await clock.sleep(RECONNECT_PAUSE_MS, search.signal)
    }
    return await own
  }

  async function findReplacement (): Promise<End> {
    await firstFailure
    const replacement = search.signal.aborted ? undefined : await options.findReplacement(search.signal)
    if (replacement === undefined) return await own
    if (!search.signal.aborted) {
      found.push(replacement)
      return { type: 'replaced', replacement }
    }
    options.release(replacement)
    return await own
  }

  /** Closes a second connection; it may have started another run on the target. */
  function discard (attached: EngineStream): void {
    if (attached.streamId === stream.streamId) attached.disconnect()
    else attached.cancel().catch(() => undefined)
  }

  const own = waitForStream()
  const end = await Promise.race([own, reconnect(), findReplacement()])
  search.abort()
  if (end.type !== 'event' || end.stream === stream) connection.abort()
  onFirstFailure()
  // The stream may have gone on in the same turn in which a replacement was found.
  if (end.type === 'event') found.forEach(options.release)
  return end
}
