/** Reads and parses request bodies of limited size. */
import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type * as z from 'zod'
import { RefusalError } from '../../shared'

/**
 * Reads a body completely.
 *
 * @param maxBytes - larger bodies are refused with `bodyTooLarge`, without reading the rest
 */
export async function readBody (c: Context, maxBytes: number): Promise<Result<Uint8Array, RefusalError>> {
  const declaredBytes = Number(c.req.header('content-length') ?? 0)
  if (declaredBytes > maxBytes) return err(createTooLargeError(maxBytes))
  const stream = c.req.raw.body
  if (stream === null) return ok(new Uint8Array())
  const chunks: Uint8Array[] = []
  let size = 0
  const reader = stream.getReader()
  try {
    for (;;) {
      const { done, value } = await reader.read()
      if (done) return ok(Buffer.concat(chunks))
      size += value.length
      if (size > maxBytes) return err(createTooLargeError(maxBytes))
      chunks.push(value)
    }
  } catch (cause) {
    return err(new RefusalError('badRequest', { detail: 'the request body broke off', cause }))
  }
}

/** Parses a JSON body; the error names the invalid field. */
export function parseJsonBody<Schema extends z.ZodType> (
  body: Uint8Array,
  schema: Schema
): Result<z.output<Schema>, RefusalError> {
  let data: unknown
  try {
    data = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body))
  } catch (cause) {
    return err(new RefusalError('badRequest', { detail: `the body is not valid JSON: ${(cause as Error).message}` }))
  }
  const parsed = schema.safeParse(data)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  const field = issue?.path.join('.') ?? ''
  return err(new RefusalError('badRequest', { detail: `${field || 'body'}: ${issue?.message ?? 'not valid'}`, field }))
}

function createTooLargeError (maxBytes: number): RefusalError {
  return new RefusalError('bodyTooLarge', { detail: `the body is larger than ${maxBytes} bytes` })
}
