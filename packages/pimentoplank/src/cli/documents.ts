/** JSON documents that operators write, with their schemas. */
import type * as z from 'zod'
import { batchSettings } from '../batch'
import { controllerSettings } from '../controller'
import { entrySettings } from '../entry'
import { releaseNote } from '../shared'
import { cliSettings } from './settings'

/** Schemas by the name that `schema` and `check --as` accept. */
export const DOCUMENTS = {
  entry: entrySettings,
  batch: batchSettings,
  controller: controllerSettings,
  cli: cliSettings,
  'release-note': releaseNote
} satisfies Record<string, z.ZodType>

export type DocumentName = keyof typeof DOCUMENTS
export const DOCUMENT_NAMES = Object.keys(DOCUMENTS) as DocumentName[]
