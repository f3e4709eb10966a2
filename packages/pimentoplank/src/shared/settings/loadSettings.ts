/** Reads a settings file and reports all of its errors at once. */
import { readFile } from 'node:fs/promises'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type * as z from 'zod'
import { describeCause } from '../errors'

/** An error in a settings file. */
export interface SettingsIssue {
  /** Path of the field, such as `listen.port`. */
  path: string
  /** Value of the field, as JSON. */
  found: string
  /** What was expected. */
  expected: string
}

/** A settings file that is unreadable or invalid. */
export class SettingsError extends Error {
  readonly file: string
  readonly issues: readonly SettingsIssue[]

  constructor (file: string, issues: readonly SettingsIssue[]) {
    const lines = issues.map((issue) => `  ${issue.path || '(file)'}: ${issue.expected}; found ${issue.found}`)
    super([`${file} has ${issues.length} error(s):`, ...lines].join('\n'))
    this.name = 'SettingsError'
    this.file = file
    this.issues = issues
  }
}

/**
 * Reads and validates a settings file.
 *
 * @param file - path of a JSON file
 * @param schema - schema of the program's settings
 */
export function loadSettings<Schema extends z.ZodType> (
  file: string,
  schema: Schema
): ResultAsync<z.output<Schema>, SettingsError> {
  return ResultAsync
    .fromPromise(readFile(file, 'utf8'), (cause) => toFileError(file, 'a file that can be read', describeCause(cause)))
    .andThen((text) => parseSettings(file, text, schema))
}

/** Parses and validates the text of a settings file. */
export function parseSettings<Schema extends z.ZodType> (
  file: string,
  text: string,
  schema: Schema
): Result<z.output<Schema>, SettingsError> {
  let data: unknown
  try {
    data = JSON.parse(text)
  } catch (cause) {
    return err(toFileError(file, 'valid JSON', describeCause(cause)))
  }
  const parsed = schema.safeParse(data)
  if (parsed.success) return ok(parsed.data)
  return err(new SettingsError(file, parsed.error.issues.flatMap((issue) => describeIssue(issue, data))))
}

function toFileError (file: string, expected: string, found: string): SettingsError {
  return new SettingsError(file, [{ path: '', expected, found }])
}

function describeIssue (issue: z.core.$ZodIssue, data: unknown): SettingsIssue[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key]
      return { path: path.join('.'), expected: 'no such setting exists', found: formatValueAt(data, path) }
    })
  }
  return [{ path: issue.path.join('.'), expected: issue.message, found: formatValueAt(data, issue.path) }]
}

function formatValueAt (data: unknown, path: readonly PropertyKey[]): string {
  let value: unknown = data
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return 'nothing'
    value = (value as Record<PropertyKey, unknown>)[key]
  }
  return value === undefined ? 'nothing' : JSON.stringify(value)
}
