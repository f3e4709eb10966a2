/** Builds the results of items, with the engine's output in the format of the endpoint. */
import type { BatchResult, ChunkItem, EngineEvent } from '../shared'

type EndEvent = Extract<EngineEvent, { type: 'end' }>

/** Creates the result of an item whose run completed. */
export function createDoneResult (item: ChunkItem, requestId: string, text: string, end: EndEvent): BatchResult {
  const isChat = item.endpoint === '/v1/chat/completions'
  const choice = isChat ? { message: { role: 'assistant', content: text } } : { text }
  const response = {
    id: requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: item.body.model,
    choices: [{ index: 0, ...choice, finish_reason: end.finishReason }],
    usage: {
      prompt_tokens: end.promptTokens,
      completion_tokens: end.completionTokens,
      total_tokens: end.promptTokens + end.completionTokens
    }
  }
  return { id: item.id, status: 'done', response }
}

/** Creates the result of an item that will not be retried. */
export function createFailedResult (item: ChunkItem, reason: string, detail: string): BatchResult {
  return { id: item.id, status: 'failed', error: { reason, detail } }
}

/** Creates the result of an at-most-once item that may have run, but whose output is not known. */
export function createUnknownResult (item: ChunkItem, detail: string): BatchResult {
  return { id: item.id, status: 'unknown', error: { reason: 'onceUnknown', detail } }
}
