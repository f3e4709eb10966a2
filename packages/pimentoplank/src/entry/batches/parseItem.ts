/** Parses and validates one line of an upload. */
import { err, ok, type Result } from 'neverthrow'
import { batchItem, describeCause, RefusalError, type ChunkItem } from '../../shared'
import type { Line } from './readLines'

export interface ParseItemOptions {
  defaultModel?: string
  /** Returns whether a model is in service; absent when only the content of an existing job is compared. */
  hasModel?: (name: string) => boolean
}

/** Parses a line into an item; a refusal names the line and the field. */
export function parseItem (line: Line, options: ParseItemOptions): Result<ChunkItem & { model: string }, RefusalError> {
  let data: unknown
  try {
    data = JSON.parse(line.text)
  } catch (cause) {
    return err(createLineError(line, '', `not valid JSON: ${describeCause(cause)}`))
  }
  const parsed = batchItem.safeParse(data)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    return err(createLineError(line, issue!.path.join('.'), issue!.message))
  }
  const { id, body, endpoint, noRepeat } = parsed.data
  const model = body.model ?? options.defaultModel
  if (model === undefined) return err(createLineError(line, 'body.model', 'neither the line nor the job names a model'))
  if (options.hasModel?.(model) === false) return err(createUnknownModelError(model, line))
  return ok({ id, body: { ...body, model }, endpoint, noRepeat, model })
}

/** Creates the refusal of an invalid line. */
export function createLineError (line: Line, field: string, message: string): RefusalError {
  const location = field === '' ? `line ${line.number}` : `line ${line.number}: ${field}`
  return new RefusalError('badRequest', { detail: `${location}: ${message}`, field: location })
}

/** Creates the refusal of a model that is not in service. */
export function createUnknownModelError (model: string, line?: Line): RefusalError {
  const location = line === undefined ? 'model' : `line ${line.number}: body.model`
  return new RefusalError('unknownModel', { detail: `${location}: no model ${model} is in service`, field: location })
}
