/** `pimentoplank check` and `pimentoplank schema`. */
import { readFile } from 'node:fs/promises'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { describeCause, parseSettings, SettingsError } from '../shared'
import { FILE_KINDS, FILE_SCHEMAS, recognizeFile, type FileKind } from './programs'

/** Checks one file; the error lists everything that is wrong. */
export async function checkFile (file: string, kind?: FileKind): Promise<Result<FileKind, SettingsError>> {
  const text = await readText(file)
  if (text.isErr()) return err(text.error)
  const found = kind ?? recognizeFile(file, parseJson(text.value))
  if (found === undefined) {
    const expected = `a name or content that tells the kind of file, or --program with one of ${FILE_KINDS.join(', ')}`
    return err(new SettingsError(file, [{ path: '', expected, found: 'neither' }]))
  }
  return parseSettings(file, text.value, FILE_SCHEMAS[found]).map(() => found)
}

/** JSON Schema of a kind of file, for editors. */
export function schemaOf (kind: FileKind): object {
  return z.toJSONSchema(FILE_SCHEMAS[kind], { io: 'input' })
}

async function readText (file: string): Promise<Result<string, SettingsError>> {
  try {
    return ok(await readFile(file, 'utf8'))
  } catch (cause) {
    return err(new SettingsError(file, [{ path: '', expected: 'a file that can be read', found: describeCause(cause) }]))
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
