/** Hashes by which live requests and batch items with the same prompt are known as the same. */
import { hash64, hashHex } from './hash'

/** Start of a prompt that decides which target has it cached, in characters. */
const PREFIX_LENGTH = 256

export interface PromptHashes {
  /** For the quarantine. */
  contentHash: string
  /** For the target's prefix cache. */
  prefixHash: bigint
}

/** Hashes the prompt of a chat or completion body. */
export function hashPrompt (model: string, body: Readonly<Record<string, unknown>>): PromptHashes {
  const prompt = typeof body.prompt === 'string' ? body.prompt : JSON.stringify(body.messages)
  return {
    contentHash: hashHex(`${model}\u0000${prompt}`),
    prefixHash: hash64(`${model}\u0000${prompt.slice(0, PREFIX_LENGTH)}`)
  }
}
