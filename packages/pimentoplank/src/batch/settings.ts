/** Settings of a batch runner. */
import * as z from 'zod'
import {
  commonSettings, HOUR_MS, KIB_BYTES, MIB_BYTES, MINUTE_MS, SECOND_MS, slotClientSettings
} from '../shared'

const ms = z.int().min(1)

export const leaseSettings = z.strictObject({
  lengthMs: ms.default(30 * SECOND_MS).describe('Time without a renewal after which its chunks are taken over.'),
  renewEveryMs: ms.default(10 * SECOND_MS).describe('Time between renewals; a third of the length is recommended.')
})

export const commitSettings = z.strictObject({
  everyMs: ms.default(10 * SECOND_MS).describe('Longest time that a result waits to be committed.'),
  items: z.int().min(1).default(256).describe('Number of pending results of one chunk that triggers a commit.'),
  maxBytes: z.int().min(1).max(768 * KIB_BYTES).default(512 * KIB_BYTES).describe('Largest result segment, in bytes.')
})

export const outageSettings = z.strictObject({
  runMs: ms.default(5 * MINUTE_MS).describe('How long claimed chunks are processed while their claims can\'t be checked.'),
  maxPendingBytes: z.int().min(1).default(16 * MIB_BYTES)
    .describe('Size of uncommitted results in memory at which processing pauses, in bytes.')
})

export const scanSettings = z.strictObject({
  everyMs: ms.default(SECOND_MS).describe('Time between scans for unclaimed chunks while there is work.'),
  maxEveryMs: ms.default(10 * SECOND_MS).describe('Longest time between scans while no work is found.'),
  jobsPerScan: z.int().min(1).default(4).describe('Jobs examined per scan; each costs one read.')
})

export const collectorSettings = z.strictObject({
  everyMs: ms.default(10 * MINUTE_MS).describe('Time between sweeps.'),
  orphanAfterMs: ms.default(HOUR_MS)
    .describe('How long parts must be unreferenced before they are removed; must exceed the length of any upload.'),
  retentionMs: ms.default(7 * 24 * HOUR_MS).describe('How long jobs stay readable after they have ended.')
})

export const runnerSettings = z.strictObject({
  parallelism: z.int().min(1).max(1024).default(32).describe('Items waiting for a slot or running at once.'),
  chunksHeld: z.int().min(1).default(4).describe('Largest number of chunks claimed at once.'),
  itemTries: z.int().min(1).default(3)
    .describe('Runs that targets reported as failed after which an item is marked as failed; broken-off runs are not counted.'),
  slotWaitMs: ms.default(5 * SECOND_MS)
    .describe('How long one slot request waits in the queue of the instance that grants the slots.'),
  intentGroup: z.int().min(1).default(16).describe('At-most-once items whose intents are written together.'),
  missingModelMs: ms.default(MINUTE_MS).describe('How long an item waits for a missing model before it fails.'),
  cancelGraceMs: ms.default(5 * SECOND_MS).describe(
    'Time that a chunk\'s owner has to seal it after a cancellation, and within which it must have read the job to start items.'
  ),
  stopGraceMs: ms.default(10 * SECOND_MS).describe('Time that running items have to finish when the process stops.'),
  lease: leaseSettings.prefault({}),
  commit: commitSettings.prefault({}),
  outage: outageSettings.prefault({}),
  scan: scanSettings.prefault({}),
  collector: collectorSettings.prefault({})
})
export type RunnerSettings = z.infer<typeof runnerSettings>

export const batchSettings = z.strictObject({
  ...commonSettings,
  batch: runnerSettings.prefault({}),
  slotClient: slotClientSettings.prefault({})
})
export type BatchSettings = z.infer<typeof batchSettings>
