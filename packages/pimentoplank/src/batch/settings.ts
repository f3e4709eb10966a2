/** Settings of a batch runner. */
import { z } from 'zod'
import {
  commonSettings, HOUR_MS, KIB_BYTES, MIB_BYTES, MINUTE_MS, SECOND_MS, slotClientSettings
} from '../shared'

const ms = z.int().min(1)

export const leaseSettings = z.strictObject({
  lengthMs: ms.default(30 * SECOND_MS).describe('Time without a renewal after which others take the chunks over.'),
  renewEveryMs: ms.default(10 * SECOND_MS).describe('Time between renewals; a third of the length is sound.')
})

export const commitSettings = z.strictObject({
  everyMs: ms.default(10 * SECOND_MS).describe('Longest time that a result waits for its commit.'),
  items: z.int().min(1).default(256).describe('Results of one chunk that are committed without waiting longer.'),
  maxBytes: z.int().min(1).max(768 * KIB_BYTES).default(512 * KIB_BYTES).describe('Largest segment of results.')
})

export const outageSettings = z.strictObject({
  runMs: ms.default(5 * MINUTE_MS).describe('How long work on held chunks goes on while the platform does not answer.'),
  maxPendingBytes: z.int().min(1).default(16 * MIB_BYTES).describe('Results held in memory before work pauses.')
})

export const scanSettings = z.strictObject({
  everyMs: ms.default(SECOND_MS).describe('Time between looks for free chunks while there is work.'),
  maxEveryMs: ms.default(10 * SECOND_MS).describe('The same while nothing is found.'),
  jobsPerScan: z.int().min(1).default(4).describe('Jobs looked at in one go; each costs one read.')
})

export const collectorSettings = z.strictObject({
  everyMs: ms.default(10 * MINUTE_MS).describe('Time between sweeps.'),
  orphanAfterMs: ms.default(HOUR_MS).describe('How long parts must have been unreferenced; above any upload\'s length.'),
  retentionMs: ms.default(7 * 24 * HOUR_MS).describe('How long jobs stay readable after their end.')
})

export const runnerSettings = z.strictObject({
  parallelism: z.int().min(1).max(1024).default(32).describe('Items in hand at once: waiting for a slot or running.'),
  chunksHeld: z.int().min(1).default(4).describe('Most chunks claimed at once.'),
  itemTries: z.int().min(1).default(3).describe('Runs of one item that may fail before its result is failed.'),
  slotWaitMs: ms.default(5 * SECOND_MS).describe('How long one request for a slot waits at a home.'),
  intentGroup: z.int().min(1).default(16).describe('Items not to be repeated whose intents are written together.'),
  missingModelMs: ms.default(MINUTE_MS).describe('How long an item waits for a model that is not in service.'),
  cancelGraceMs: ms.default(5 * SECOND_MS).describe('Time that the holder of a chunk gets to seal it after a cancel.'),
  stopGraceMs: ms.default(10 * SECOND_MS).describe('Time that running items get to finish when the process stops.'),
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
