/** Streams the committed results of a job, in chunk order. */
import { err, ok, type Result } from 'neverthrow'
import { OBJECT_KINDS, segmentRecord, type JobRecord, type PlatformClient, type PlatformError } from '../../shared'
import { readCheckpoints, type CheckpointPage } from './jobView'

/**
 * Opens a stream of the committed results. Segments are read on demand, as the caller consumes the stream. A failure
 * midway errors the stream, so that a truncated result list is never mistaken for a complete one.
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
  if (object.value === null) throw new Error(`segment ${name} is listed in a checkpoint, but not stored`)
  const { results } = segmentRecord.parse(object.value.value)
  return results.map((result) => `${JSON.stringify(result)}\n`).join('')
}
