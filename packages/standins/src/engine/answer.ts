/** Deterministic answers of the engine stand-in, so that a client can verify that an answer is complete. */
import { hash32, hashHex } from 'pimentoplank/shared'
import * as z from 'zod'

/** A prompt with this marker is rejected with 500 by an engine whose `failOn` fault is set to it. */
export const FAIL_MARKER = '[never completes]'
const TOKEN_LETTERS = 5
const RADIX = 36
/** Number of characters that count as one prompt token. */
const CHARS_PER_TOKEN = 4

const messageText = z.object({ content: z.string() })
const promptFields = z.object({ messages: z.array(messageText).optional(), prompt: z.string().optional() })

/**
 * Extracts the prompt from a request body: `prompt`, or the contents of all messages joined by newlines.
 *
 * @returns undefined when the body has neither
 */
export function getPrompt (body: unknown): string | undefined {
  const fields = promptFields.safeParse(body)
  if (!fields.success) return undefined
  return fields.data.prompt ?? fields.data.messages?.map((message) => message.content).join('\n')
}

/** Computes the number of tokens of a text with this many characters. */
export function countTokens (chars: number): number {
  return Math.ceil(chars / CHARS_PER_TOKEN)
}

/** Creates the generator of the tokens of one answer. */
export function createTokenGenerator (prompt: string): { getToken: (index: number) => string } {
  const seed = hashHex(prompt)
  return {
    getToken: (index) => hash32(`${seed}:${index}`).toString(RADIX).padStart(TOKEN_LETTERS, '0').slice(-TOKEN_LETTERS) + ' '
  }
}

/**
 * Computes the complete answer to a prompt.
 *
 * @param prompt - as returned by `getPrompt`
 * @param maxTokens - number of tokens; the stand-in always generates exactly that many
 */
export function computeAnswer (prompt: string, maxTokens: number): string {
  const answer = createTokenGenerator(prompt)
  return Array.from({ length: maxTokens }, (_, index) => answer.getToken(index)).join('')
}
