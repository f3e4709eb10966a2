/** Turns the server-sent events of an engine into tokens. */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import { EngineError, type EngineEvent } from './types'

const DONE_MARK = '[DONE]'

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
  /** Takes in text of the stream. */
  feed: (text: string) => void
  /** Takes out the next event, the error found in the stream, or undefined when more text is needed. */
  take: () => EngineEvent | EngineError | undefined
}

/**
 * Creates a reader of one stream.
 *
 * @param firstIndex - index of the first token that the stream carries
 */
export function createEventReader (firstIndex: number): EventReader {
  const ready: Array<EngineEvent | EngineError> = []
  let index = firstIndex
  let finishReason: string | undefined
  let promptTokens = 0
  let completionTokens: number | undefined

  function onData (data: string): void {
    if (data === DONE_MARK) return onDone()
    const chunk = streamChunk.safeParse(parseJson(data))
    if (!chunk.success || chunk.data.error !== undefined) {
      ready.push(new EngineError('targetError', { reached: true, detail: `unreadable event: ${data.slice(0, 200)}` }))
      return
    }
    const choice = chunk.data.choices[0]
    const text = choice?.delta?.content ?? choice?.text ?? ''
    if (text !== '') ready.push({ type: 'token', index: index++, text })
    finishReason = choice?.finish_reason ?? finishReason
    promptTokens = chunk.data.usage?.prompt_tokens ?? promptTokens
    completionTokens = chunk.data.usage?.completion_tokens ?? completionTokens
  }

  // Only the reason and the mark together show that the answer is whole.
  function onDone (): void {
    if (finishReason === undefined) {
      ready.push(new EngineError('streamCut', { reached: true, detail: 'the stream ended without a finish reason' }))
      return
    }
    ready.push({ type: 'end', finishReason, promptTokens, completionTokens: completionTokens ?? index })
  }

  const parser = createParser({ onEvent: (event) => onData(event.data) })
  return {
    feed: (text) => parser.feed(text),
    take: () => ready.shift()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
