/** Hashes that identify equal prompts across live requests and batch items. */
import { hash64, hashHex } from './hash'

/** Length of the prompt prefix that selects the target whose cache may hold it, in characters. */
const PREFIX_LENGTH = 256

export interface PromptHashes {
  /** Identifies the prompt in the quarantine. */
  contentHash: string
  /** Routes requests with the same prefix to the same target, for its prefix cache. */
  prefixHash: bigint
  /** Identify the parts that other prompts may share: the messages, or the lines of a text, but the last. */
  partHashes: readonly string[]
}

/** Maximum number of parts that are hashed. */
const MAX_PARTS = 64

/** Hashes the prompt of a chat or completion request together with its model. */
export function hashPrompt (model: string, body: Readonly<Record<string, unknown>>): PromptHashes {
  const prompt = typeof body.prompt === 'string' ? body.prompt : JSON.stringify(body.messages)
  const parts = Array.isArray(body.messages) ? body.messages.map((message) => JSON.stringify(message)) : prompt.split('\n')
  const shared = new Set(parts.slice(0, -1).slice(0, MAX_PARTS))
  return {
    contentHash: hashHex(`${model}\u0000${prompt}`),
    prefixHash: hash64(`${model}\u0000${prompt.slice(0, PREFIX_LENGTH)}`),
    partHashes: [...shared].map((part) => hashHex(`${model}\u0000${part}`))
  }
}
