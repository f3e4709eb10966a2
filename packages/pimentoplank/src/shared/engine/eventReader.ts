/** Parser of the server-sent events of an engine. */
import { createParser } from 'eventsource-parser'
import * as z from 'zod'
import { EngineError, type EngineEvent } from './types'

const DONE_MARKER = '[DONE]'

const streamChunk = z.object({
  choices: z.array(z.object({
    text: z.string().nullish(),
    delta: z.object({ content: z.string().nullish() }).nullish(),
    finish_reason: z.string().nullish()
  })).default([]),
  usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
  error: z.unknown().optional()
})

export interface EventReader {
  /** Parses the next piece of the stream's text. */
  feed: (text: string) => void
  /** Removes and returns the next event or error; undefined when more text is needed. */
  take: () => EngineEvent | EngineError | undefined
}

/**
 * Creates a parser for one stream.
 *
 * @param firstIndex - index of the first token that the stream carries
 */
export function createEventReader (firstIndex: number): EventReader {
  const queue: Array<EngineEvent | EngineError> = []
  let index = firstIndex
  let finishReason: string | undefined
  let promptTokens = 0
  let completionTokens: number | undefined

  function onData (data: string): void {
    if (data === DONE_MARKER) return onDone()
    const chunk = streamChunk.safeParse(parseJson(data))
    if (!chunk.success || chunk.data.error !== undefined) {
      queue.push(new EngineError('targetError', { reached: true, detail: `unreadable event: ${data.slice(0, 200)}` }))
      return
    }
    const choice = chunk.data.choices[0]
    const text = choice?.delta?.content ?? choice?.text ?? ''
    if (text !== '') queue.push({ type: 'token', index: index++, text })
    finishReason = choice?.finish_reason ?? finishReason
    promptTokens = chunk.data.usage?.prompt_tokens ?? promptTokens
    completionTokens = chunk.data.usage?.completion_tokens ?? completionTokens
  }

  // A response is complete only with both a finish reason and the [DONE] marker.
  function onDone (): void {
    if (finishReason === undefined) {
      queue.push(new EngineError('streamCut', { reached: true, detail: 'the stream ended without a finish reason' }))
      return
    }
    queue.push({ type: 'end', finishReason, promptTokens, completionTokens: completionTokens ?? index })
  }

  const parser = createParser({ onEvent: (event) => onData(event.data) })
  return {
    feed: (text) => parser.feed(text),
    take: () => queue.shift()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
