/** Names of the objects that make up a batch job. They sort so that one prefix covers a job's parts in chunk order. */
import { createHash } from 'node:crypto'

const ACCOUNT_DIGITS = 12
const KEY_DIGITS = 24
const INDEX_DIGITS = 6

/** Most chunks of one job. */
export const MAX_CHUNKS = 10 ** INDEX_DIGITS - 2

/** Prefix of the names of an account's jobs. */
export function jobNamePrefix (account: string): string {
  return `${sha256(account).slice(0, ACCOUNT_DIGITS)}-`
}

/** Name of a job: the same for every upload with the caller's key. */
export function jobName (account: string, key: string): string {
  return jobNamePrefix(account) + sha256(`${account}\u0000${key}`).slice(0, KEY_DIGITS)
}

/** Prefix of everything that belongs to one upload. */
export function uploadPrefix (job: string, uploadId: string): string {
  return `${job}.${uploadId}.`
}

/** Name of the first object of an upload. */
export function uploadHeadName (job: string, uploadId: string): string {
  return uploadPrefix(job, uploadId) + digits(0)
}

/** A name that sorts after every part of an upload. */
export function uploadEndName (job: string, uploadId: string): string {
  return `${uploadPrefix(job, uploadId)}~`
}

/**
 * Name of a chunk and of its checkpoint.
 *
 * @param index - place of the chunk in the job, from 0
 */
export function chunkName (job: string, uploadId: string, index: number): string {
  return uploadPrefix(job, uploadId) + digits(index + 1)
}

/** Name to list after, so that the page begins at the chunk. */
export function beforeChunkName (job: string, uploadId: string, index: number): string {
  return uploadPrefix(job, uploadId) + digits(index)
}

/** Name of a result segment: one holder, at one epoch, writes them in sequence. */
export function segmentName (chunk: string, epoch: number, sequence: number): string {
  return `${chunk}.${epoch}.${sequence}`
}

export interface ChunkNameParts {
  job: string
  uploadId: string
  /** Place of the chunk in the job, from 0; -1 for the first object of the upload. */
  index: number
}

/** Takes the name of a chunk, a checkpoint or an upload's first object apart. */
export function parseChunkName (name: string): ChunkNameParts | undefined {
  const [job, uploadId, place] = name.split('.')
  if (job === undefined || uploadId === undefined || place === undefined) return undefined
  return { job, uploadId, index: Number(place) - 1 }
}

function digits (number: number): string {
  return String(number).padStart(INDEX_DIGITS, '0')
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
