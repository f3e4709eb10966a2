/** Streams the committed results of a job, in chunk order. */
import { err, ok, type Result } from 'neverthrow'
import { OBJECT_KINDS, segmentRecord, type JobRecord, type PlatformClient, type PlatformError } from '../../shared'
import { readCheckpoints, type CheckpointPage } from './jobView'

/**
 * Opens the results. They are read as the caller takes them; a failure in between breaks the stream off, so that it
 * is never taken for whole.
 */
export async function streamResults (
  platform: PlatformClient,
  id: string,
  job: JobRecord
): Promise<Result<ReadableStream<Uint8Array>, PlatformError>> {
  const first = await readCheckpoints(platform, id, job)
  if (first.isErr()) return err(first.error)
  const pieces = readPieces(platform, id, job, first.value)
  return ok(new ReadableStream<Uint8Array>({
    pull: async (controller) => {
      const piece = await pieces.next()
      if (piece.done === true) controller.close()
      else controller.enqueue(Buffer.from(piece.value))
    },
    cancel: async () => { await pieces.return() }
  }, { highWaterMark: 0 }))
}

async function * readPieces (
  platform: PlatformClient,
  id: string,
  job: JobRecord,
  first: CheckpointPage
): AsyncGenerator<string, void, undefined> {
  for (let page = first; ;) {
    const segments = page.items.flatMap(({ checkpoint }) => checkpoint.segments)
    for (const { name } of segments) yield await readSegment(platform, name)
    if (page.next === undefined) return
    const next = await readCheckpoints(platform, id, job, page.next)
    if (next.isErr()) throw next.error
    page = next.value
  }
}

async function readSegment (platform: PlatformClient, name: string): Promise<string> {
  const object = await platform.get(OBJECT_KINDS.segment, name)
  if (object.isErr()) throw object.error
  if (object.value === null) throw new Error(`segment ${name} is gone`)
  const { results } = segmentRecord.parse(object.value.value)
  return results.map((result) => `${JSON.stringify(result)}\n`).join('')
}
