/** The files that operators write, and how to tell which is which. */
import path from 'node:path'
import type { z } from 'zod'
import { batchSettings } from '../batch'
import { controllerSettings } from '../controller'
import { entrySettings } from '../entry'
import { releaseNote } from '../shared'
import { cliSettings } from './settings'

/** Schemas by the name that `check` and `schema` take. */
export const FILE_SCHEMAS = {
  entry: entrySettings,
  batch: batchSettings,
  controller: controllerSettings,
  cli: cliSettings,
  'release-note': releaseNote
} as const satisfies Record<string, z.ZodType>

export type FileKind = keyof typeof FILE_SCHEMAS

export const FILE_KINDS = Object.keys(FILE_SCHEMAS) as FileKind[]

/** Fields that only one kind of file has. */
const TELLTALES: ReadonlyArray<[string, FileKind]> = [
  ['base', 'release-note'], ['added', 'release-note'], ['entries', 'cli'], ['operatorKey', 'cli'],
  ['rolling', 'controller'], ['lease', 'controller'], ['batch', 'batch'], ['listen', 'entry'], ['directory', 'entry']
]

/**
 * Tells what kind of file it is: by its content where a field says so, else by its name.
 *
 * @param file - path of the file
 * @param data - its content, when it is valid JSON
 */
export function recognizeFile (file: string, data: unknown): FileKind | undefined {
  const fields = typeof data === 'object' && data !== null ? Object.keys(data) : []
  const told = TELLTALES.find(([field]) => fields.includes(field))
  if (told !== undefined) return told[1]
  const base = path.basename(file)
  return FILE_KINDS.find((kind) => base.startsWith(kind)) ?? FILE_KINDS.find((kind) => base.includes(kind))
}
