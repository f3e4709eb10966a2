/** Writes the first release note of a benchmark to the platform. */
import {
  createPlatformClient, toNoteName, OBJECT_KINDS, releaseNote, type StoredNote
} from 'pimentoplank/shared'
import { v7 as uuid } from 'uuid'

const FIRST_SEQUENCE = 1

/** Writes a release note as the first of the configuration; throws when the platform rejects it. */
export async function putFirstNote (platformUrl: string, note: object): Promise<void> {
  const client = createPlatformClient({ url: platformUrl })
  const stored: StoredNote = { ...releaseNote.parse(note), id: uuid(), appliedAt: Date.now() }
  const written = await client.put(OBJECT_KINDS.releaseNote, toNoteName(FIRST_SEQUENCE), stored, { ifRevision: 0 })
  await client.close()
  if (written.isErr()) throw written.error
}
