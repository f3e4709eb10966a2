/** The deterministic text of the engine stand-in, so that a reader can check that an answer is whole. */
import { hash32, hashHex } from 'pimentoplank/shared'
import { z } from 'zod'

/** A prompt that contains this gets 500 from an engine whose switch `failOn` is set to it. */
export const FAIL_MARKER = '[never completes]'
const TOKEN_LETTERS = 5
const RADIX = 36
/** Characters of one prompt token. */
const CHARS_PER_TOKEN = 4

const messageText = z.object({ content: z.string() })
const promptFields = z.object({ messages: z.array(messageText).optional(), prompt: z.string().optional() })

/**
 * The prompt of a request body: `prompt`, or the contents of all messages, one a line.
 *
 * @returns undefined when the body has neither
 */
export function promptOf (body: unknown): string | undefined {
  const fields = promptFields.safeParse(body)
  if (!fields.success) return undefined
  return fields.data.prompt ?? fields.data.messages?.map((message) => message.content).join('\n')
}

/** Number of tokens that a text of so many characters counts as. */
export function countTokens (chars: number): number {
  return Math.ceil(chars / CHARS_PER_TOKEN)
}

/** Makes the tokens of one answer. */
export function createAnswer (prompt: string): { token: (index: number) => string } {
  const seed = hashHex(prompt)
  return {
    token: (index) => hash32(`${seed}:${index}`).toString(RADIX).padStart(TOKEN_LETTERS, '0').slice(-TOKEN_LETTERS) + ' '
  }
}

/**
 * The whole answer to a prompt.
 *
 * @param prompt - as `promptOf` gives it
 * @param maxTokens - tokens of the answer; the stand-in always uses all of them
 */
export function expectedAnswer (prompt: string, maxTokens: number): string {
  const answer = createAnswer(prompt)
  return Array.from({ length: maxTokens }, (_, index) => answer.token(index)).join('')
}
