/** Object names of a batch job. Listing by the prefix of an upload returns its objects in chunk order. */
import { createHash } from 'node:crypto'

const ACCOUNT_DIGITS = 12
const KEY_DIGITS = 24
const INDEX_DIGITS = 6

/** Maximum number of chunks of one job. */
export const MAX_CHUNKS = 10 ** INDEX_DIGITS - 2

/** Returns the name prefix of an account's jobs. */
export function toJobNamePrefix (account: string): string {
  return `${sha256(account).slice(0, ACCOUNT_DIGITS)}-`
}

/** Returns the name of a job, which is the same for all uploads with one key of the caller. */
export function toJobName (account: string, key: string): string {
  return toJobNamePrefix(account) + sha256(`${account}\u0000${key}`).slice(0, KEY_DIGITS)
}

/** Returns the name prefix of all objects of an upload. */
export function toUploadPrefix (job: string, uploadId: string): string {
  return `${job}.${uploadId}.`
}

/** Returns the name of the first object of an upload. */
export function toUploadHeadName (job: string, uploadId: string): string {
  return toUploadPrefix(job, uploadId) + toDigits(0)
}

/** Returns a name that sorts after all objects of an upload. */
export function toUploadEndName (job: string, uploadId: string): string {
  return `${toUploadPrefix(job, uploadId)}~`
}

/**
 * Returns the name of a chunk and of its checkpoint.
 *
 * @param index - zero-based index of the chunk in the job
 */
export function toChunkName (job: string, uploadId: string, index: number): string {
  return toUploadPrefix(job, uploadId) + toDigits(index + 1)
}

/** Returns the name after which a listing starts with the chunk. */
export function toListingStart (job: string, uploadId: string, index: number): string {
  return toUploadPrefix(job, uploadId) + toDigits(index)
}

/** Returns the name of a result segment; the holder of the chunk at an epoch numbers its segments in sequence. */
export function toSegmentName (chunk: string, epoch: number, sequence: number): string {
  return `${chunk}.${epoch}.${sequence}`
}

export interface ChunkNameParts {
  job: string
  uploadId: string
  /** Zero-based index of the chunk in the job; -1 for the first object of the upload. */
  index: number
}

/** Parses the name of a chunk, a checkpoint or the first object of an upload. */
export function parseChunkName (name: string): ChunkNameParts | undefined {
  const [job, uploadId, place] = name.split('.')
  if (job === undefined || uploadId === undefined || place === undefined) return undefined
  return { job, uploadId, index: Number(place) - 1 }
}

function toDigits (number: number): string {
  return String(number).padStart(INDEX_DIGITS, '0')
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
