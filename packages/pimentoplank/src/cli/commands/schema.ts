import { command, oneOf, positional } from 'cmd-ts'
import { ok } from 'neverthrow'
import * as z from 'zod'
import { DOCUMENT_NAMES, DOCUMENTS, type DocumentName } from '../documents'
import { runCommand } from '../runCommand'

/** `schema NAME`: prints the JSON Schema of a document, for editors. */
export const schema = command({
  name: 'schema',
  description: 'Print the JSON Schema of a settings file or a release note.',
  args: { document: positional({ type: oneOf(DOCUMENT_NAMES), displayName: DOCUMENT_NAMES.join('|') }) },
  handler: async ({ document }) => await runCommand(async () => {
    const data = z.toJSONSchema(DOCUMENTS[document as DocumentName], { io: 'input' })
    return ok({ text: JSON.stringify(data, null, 2), data })
  })
})
