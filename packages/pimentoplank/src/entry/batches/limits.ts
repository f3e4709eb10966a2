/** Limits of batch uploads; part of the settings of an entry instance. */
import * as z from 'zod'
import { KIB_BYTES, MIB_BYTES, MINUTE_MS } from '../../shared'

export const batchLimits = z.strictObject({
  maxBodyBytes: z.int().min(1).default(1024 * MIB_BYTES).describe('Largest upload, in bytes.'),
  maxLineBytes: z.int().min(1).max(384 * KIB_BYTES).default(256 * KIB_BYTES).describe('Largest line, in bytes.'),
  maxItems: z.int().min(1).default(250_000).describe('Most items of one job.'),
  chunkItems: z.int().min(1).max(2000).default(500).describe('Most items of one chunk.'),
  chunkBytes: z.int().min(1).max(384 * KIB_BYTES).default(384 * KIB_BYTES)
    .describe('Size at which a chunk is closed, in bytes; at most one line more is stored with it.'),
  uploadTimeoutMs: z.int().min(1).default(15 * MINUTE_MS)
    .describe('Longest upload, in milliseconds; must stay below the age at which leftovers are collected.')
})
export type BatchLimits = z.infer<typeof batchLimits>
