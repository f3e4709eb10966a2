/** Reads the events of a response and decides whether the stream is complete. */
import { err, ok, type Result } from 'neverthrow'
import { KIB_BYTES } from '../../shared'
import { createEventSplitter, type SplitEvent } from './eventSplitter'
import { SendFailure } from './sendFailure'
import type { TargetAnswer } from './targetAnswer'

/** Maximum size of one event, in bytes; larger ones are taken for bytes without end. */
const MAX_EVENT_BYTES = 256 * KIB_BYTES

export interface EventReader {
  /** Reads the next events; resolves to undefined at the end of a complete stream. */
  read: () => Promise<Result<SplitEvent[] | undefined, SendFailure>>
  /** What has been received so far, for logs. */
  getCounts: () => { events: number, partialEventBytes: number }
}

export interface EventReaderOptions {
  /** Id of the event after which the run goes on; undefined for a new one. */
  after?: number
  /** True if what follows the last event can be asked for. */
  canResume?: boolean
}

/** Creates the reader of one response. */
export function createEventReader (
  answer: TargetAnswer, { after, canResume = false }: EventReaderOptions = {}
): EventReader {
  const splitter = createEventSplitter()
  let events = 0
  let lastEventId = after
  /** True once the run has told something new; repeated events and those without an id don't count. */
  let hasAdvanced = false

  function findTruncation (): SendFailure | undefined {
    if (splitter.getRemainder().length > 0) return new SendFailure('broken', true, 'the stream ended inside an event')
    // The end of the connection says nothing about a stream that has not begun.
    const isUnframed = answer.getEnding().framing === 'connection'
    const hasTold = after === undefined ? events > 0 : hasAdvanced
    if (!isUnframed || hasTold) return undefined
    return new SendFailure(after === undefined ? 'broken' : 'emptyEnd', true, 'the stream ended before its first event')
  }

  return {
    read: async () => {
      const isBetweenEvents = hasAdvanced && splitter.getRemainder().length === 0
      const next = await answer.read({
        events,
        isResumed: after !== undefined,
        lastEventId,
        canAskForRest: canResume && isBetweenEvents,
        mustBeProven: !canResume
      })
      if (next.isErr()) return err(next.error)
      if (next.value !== undefined) {
        const complete = splitter.push(next.value)
        events += complete.length
        for (const { id } of complete) {
          if (id === undefined || (lastEventId !== undefined && id <= lastEventId)) continue
          lastEventId = id
          hasAdvanced = true
        }
        if (splitter.getRemainder().length <= MAX_EVENT_BYTES) return ok(complete)
        return err(new SendFailure('spoiled', true, `an event is larger than ${MAX_EVENT_BYTES} bytes`))
      }
      const truncation = findTruncation()
      return truncation === undefined ? ok(undefined) : err(truncation)
    },
    getCounts: () => ({ events, partialEventBytes: splitter.getRemainder().length })
  }
}
