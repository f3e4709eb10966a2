/** Schemas of chat and text completion requests, as common client libraries send them. */
import * as z from 'zod'

const message = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(z.looseObject({ type: z.string() }))]).nullish()
})

const common = {
  /** Model name, or `model+adapter`. */
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).optional(),
  temperature: z.number().min(0).optional(),
  // One answer per request: several could not be distinguished when a broken stream is resumed.
  n: z.literal(1).optional()
}

export const chatRequest = z.looseObject({ ...common, messages: z.array(message).min(1) })
export type ChatRequest = z.infer<typeof chatRequest>

export const completionRequest = z.looseObject({ ...common, prompt: z.string() })
export type CompletionRequest = z.infer<typeof completionRequest>

export type LiveRequest = ChatRequest | CompletionRequest
