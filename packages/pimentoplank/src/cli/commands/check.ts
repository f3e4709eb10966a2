import { command, oneOf, option, optional, restPositionals, string } from 'cmd-ts'
import { err, ok, type Result } from 'neverthrow'
import { loadSettings, type SettingsError } from '../../shared'
import { CliError, usageError } from '../cliError'
import { DOCUMENT_NAMES, DOCUMENTS, type DocumentName } from '../documents'
import { runCommand, type Output } from '../runCommand'

/** `check FILE…`: validates settings files and release notes without starting anything. */
export const check = command({
  name: 'check',
  description: 'Validate settings files and release notes. Exits with 2 when one has errors.',
  args: {
    files: restPositionals({ type: string, displayName: 'FILE' }),
    as: option({
      type: optional(oneOf(DOCUMENT_NAMES)),
      long: 'as',
      description: `Type of the files: ${DOCUMENT_NAMES.join(', ')}. Detected from each file when absent.`
    })
  },
  handler: async ({ files, as }) => {
    await runCommand(async () => await checkFiles(files, as as DocumentName | undefined))
  }
})

interface CheckedFile {
  file: string
  document: DocumentName
  error: SettingsError | undefined
}

async function checkFiles (files: readonly string[], as: DocumentName | undefined): Promise<Result<Output, CliError>> {
  if (files.length === 0) return err(usageError('FILE: expected at least one file, got none'))
  const checked = await Promise.all(files.map(async (file) => await checkFile(file, as)))
  const failed = checked.filter((entry) => entry.error !== undefined)
  if (failed.length > 0) {
    return err(usageError(failed.map((entry) => `as ${entry.document}: ${entry.error!.message}`).join('\n')))
  }
  const data = checked.map(({ file, document }) => ({ file, document }))
  return ok({ text: data.map(({ file, document }) => `${file}: valid ${document}`).join('\n'), data })
}

/** Validates a file as the given type, or as the type with the fewest errors. */
async function checkFile (file: string, as: DocumentName | undefined): Promise<CheckedFile> {
  const candidates = as === undefined ? DOCUMENT_NAMES : [as]
  const results = await Promise.all(candidates.map(async (document): Promise<CheckedFile> => {
    const loaded = await loadSettings(file, DOCUMENTS[document])
    return { file, document, error: loaded.isErr() ? loaded.error : undefined }
  }))
  return results.reduce((best, next) => countIssues(next) < countIssues(best) ? next : best)
}

function countIssues ({ error }: CheckedFile): number {
  return error?.issues.length ?? 0
}
