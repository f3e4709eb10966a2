/** Headers that control how a request is served. */
import type { Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import { RefusalError } from '../../shared'
import type { EntrySettings } from '../settings'

export const TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
export const NO_REPEAT_HEADER = 'X-No-Repeat'
export const IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
const MAX_KEY_LENGTH = 255

/** Reads how long the caller waits for the response, in milliseconds. */
export function readTimeout (c: Context, deadlines: EntrySettings['deadlines']): Result<number, RefusalError> {
  const text = c.req.header(TIMEOUT_HEADER)
  if (text === undefined) return ok(deadlines.defaultMs)
  const timeoutMs = Number(text)
  if (Number.isInteger(timeoutMs) && timeoutMs > 0) return ok(Math.min(timeoutMs, deadlines.maxMs))
  return err(createInvalidHeaderError(TIMEOUT_HEADER, 'must be a whole number of milliseconds'))
}

/** Reads the key of an at-most-once request; undefined for a request that may be retried. */
export function readOnceKey (c: Context): Result<string | undefined, RefusalError> {
  const noRepeat = c.req.header(NO_REPEAT_HEADER)?.toLowerCase()
  if (noRepeat === undefined || noRepeat === 'false') return ok(undefined)
  if (noRepeat !== 'true') return err(createInvalidHeaderError(NO_REPEAT_HEADER, 'must be true or false'))
  const key = c.req.header(IDEMPOTENCY_KEY_HEADER)
  if (key !== undefined && key !== '' && key.length <= MAX_KEY_LENGTH) return ok(key)
  return err(createInvalidHeaderError(
    IDEMPOTENCY_KEY_HEADER,
    `with ${NO_REPEAT_HEADER}: true must have 1 to ${MAX_KEY_LENGTH} characters`
  ))
}

function createInvalidHeaderError (name: string, expected: string): RefusalError {
  return new RefusalError('badRequest', { detail: `${name} ${expected}`, field: name })
}
