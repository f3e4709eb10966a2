/** Hashes that identify equal prompts across live requests and batch items. */
import { hash64, hashHex } from './hash'

/** Length of the prompt prefix that selects the target whose cache may hold it, in characters. */
const PREFIX_LENGTH = 256

export interface PromptHashes {
  /** Identifies the prompt in the quarantine. */
  contentHash: string
  /** Routes requests with the same prefix to the same target, for its prefix cache. */
  prefixHash: bigint
}

/** Hashes the prompt of a chat or completion request together with its model. */
export function hashPrompt (model: string, body: Readonly<Record<string, unknown>>): PromptHashes {
  const prompt = typeof body.prompt === 'string' ? body.prompt : JSON.stringify(body.messages)
  return {
    contentHash: hashHex(`${model}\u0000${prompt}`),
    prefixHash: hash64(`${model}\u0000${prompt.slice(0, PREFIX_LENGTH)}`)
  }
}
