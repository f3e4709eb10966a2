/** The widely used JSON forms of completions. */
import type { EngineEvent } from '../../shared'

/** A whole answer, whichever form it is given in. */
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
  whole: (answer: CompletionAnswer) => unknown
  /** One event of a stream. */
  chunk: (identity: CompletionIdentity, event: EngineEvent) => unknown
}

/** How each kind of request is answered. */
export const COMPLETION_FORMATS: Readonly<Record<'chat' | 'completion', CompletionFormat>> = {
  chat: {
    idPrefix: 'chatcmpl-',
    whole: (answer) => ({
      ...identityOf(answer),
      object: 'chat.completion',
      choices: [{
        index: 0, message: { role: 'assistant', content: answer.text }, finish_reason: answer.finishReason
      }],
      usage: usageOf(answer)
    }),
    chunk: (identity, event) => ({
      ...identity,
      object: 'chat.completion.chunk',
      ...(event.type === 'token'
        ? { choices: [{ index: 0, delta: { content: event.text }, finish_reason: null }] }
        : { choices: [{ index: 0, delta: {}, finish_reason: event.finishReason }], usage: usageOf(event) })
    })
  },
  completion: {
    idPrefix: 'cmpl-',
    whole: (answer) => ({
      ...identityOf(answer),
      object: 'text_completion',
      choices: [{ index: 0, text: answer.text, finish_reason: answer.finishReason }],
      usage: usageOf(answer)
    }),
    chunk: (identity, event) => ({
      ...identity,
      object: 'text_completion',
      ...(event.type === 'token'
        ? { choices: [{ index: 0, text: event.text, finish_reason: null }] }
        : { choices: [{ index: 0, text: '', finish_reason: event.finishReason }], usage: usageOf(event) })
    })
  }
}

function identityOf ({ id, model, created }: CompletionAnswer): CompletionIdentity {
  return { id, model, created }
}

function usageOf ({ promptTokens, completionTokens }: { promptTokens: number, completionTokens: number }): unknown {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens
  }
}
