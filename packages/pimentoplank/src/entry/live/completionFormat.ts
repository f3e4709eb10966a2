/** JSON formats of chat and text completions, as common client libraries expect them. */
import type { EngineEvent } from '../../shared'

/** Complete answer, independent of its format. */
export interface CompletionAnswer {
  id: string
  model: string
  /** Seconds since the epoch. */
  created: number
  text: string
  finishReason: string
  promptTokens: number
  completionTokens: number
}

export interface CompletionIdentity {
  id: string
  model: string
  created: number
}

export interface CompletionFormat {
  idPrefix: string
  /** Formats a complete answer. */
  formatAnswer: (answer: CompletionAnswer) => unknown
  /** Formats one event of a stream. */
  formatEvent: (identity: CompletionIdentity, event: EngineEvent) => unknown
}

/** Answer formats by kind of request. */
export const COMPLETION_FORMATS: Readonly<Record<'chat' | 'completion', CompletionFormat>> = {
  chat: {
    idPrefix: 'chatcmpl-',
    formatAnswer: (answer) => ({
      ...toIdentity(answer),
      object: 'chat.completion',
      choices: [{
        index: 0, message: { role: 'assistant', content: answer.text }, finish_reason: answer.finishReason
      }],
      usage: toUsage(answer)
    }),
    formatEvent: (identity, event) => ({
      ...identity,
      object: 'chat.completion.chunk',
      ...(event.type === 'token'
        ? { choices: [{ index: 0, delta: { content: event.text }, finish_reason: null }] }
        : { choices: [{ index: 0, delta: {}, finish_reason: event.finishReason }], usage: toUsage(event) })
    })
  },
  completion: {
    idPrefix: 'cmpl-',
    formatAnswer: (answer) => ({
      ...toIdentity(answer),
      object: 'text_completion',
      choices: [{ index: 0, text: answer.text, finish_reason: answer.finishReason }],
      usage: toUsage(answer)
    }),
    formatEvent: (identity, event) => ({
      ...identity,
      object: 'text_completion',
      ...(event.type === 'token'
        ? { choices: [{ index: 0, text: event.text, finish_reason: null }] }
        : { choices: [{ index: 0, text: '', finish_reason: event.finishReason }], usage: toUsage(event) })
    })
  }
}

function toIdentity ({ id, model, created }: CompletionAnswer): CompletionIdentity {
  return { id, model, created }
}

function toUsage ({ promptTokens, completionTokens }: { promptTokens: number, completionTokens: number }): unknown {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens
  }
}
