/** Results of items, and the answers of engines in them. */
import type { BatchResult, ChunkItem, EngineEvent } from '../shared'

type EndEvent = Extract<EngineEvent, { type: 'end' }>

/** Result of an item that an engine answered in full. */
export function doneResult (item: ChunkItem, requestId: string, text: string, end: EndEvent): BatchResult {
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

/** Result of an item that will not be tried again. */
export function failedResult (item: ChunkItem, reason: string, detail: string): BatchResult {
  return { id: item.id, status: 'failed', error: { reason, detail } }
}

/** Result of an item not to be repeated that may have run. */
export function unknownResult (item: ChunkItem, detail: string): BatchResult {
  return { id: item.id, status: 'unknown', error: { reason: 'onceUnknown', detail } }
}
