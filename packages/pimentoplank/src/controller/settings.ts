/** Settings of the controller. */
import { z } from 'zod'
import { commonSettings, MINUTE_MS, SECOND_MS } from '../shared'

const durationMs = z.int().min(1).max(60 * MINUTE_MS)

export const leaseSettings = z.strictObject({
  lengthMs: durationMs.default(10 * SECOND_MS)
    .describe('Time without a renewal after which another controller takes over, in milliseconds.'),
  renewEveryMs: durationMs.default(3 * SECOND_MS).describe('Time between renewals, in milliseconds.')
})

export const loadSettings = z.strictObject({
  maxConcurrent: z.int().min(1).default(4).describe('Loads that run at once in the whole fleet.'),
  mbPerSecond: z.number().positive().default(10_000).describe('Weights that are ordered in a second, in megabytes.')
})

export const rollingSettings = z.strictObject({
  minServingShare: z.number().min(0).max(1).default(0.75)
    .describe('Share of the replicas of a model that must go on serving while versions change.')
})

export const drainSettings = z.strictObject({
  spreadMs: durationMs.default(6 * SECOND_MS)
    .describe('Time until every instance knows that a target serves a model no more, in milliseconds.'),
  maxMs: durationMs.default(MINUTE_MS).describe('Longest wait for running requests before an unload, in milliseconds.')
})

export const snapshotSettings = z.strictObject({
  everyNotes: z.int().min(1).default(100).describe('Release notes between two snapshots of the configuration.'),
  keepNotes: z.int().min(0).default(50).describe('Release notes that stay in the log below the newest snapshot.')
})

export const settledSettings = z.strictObject({
  everyMs: durationMs.default(5 * SECOND_MS)
    .describe('Time between two looks at a fleet that stands as it should, in milliseconds.'),
  perEngineMs: z.number().min(0).default(100)
    .describe('The same for each engine, in milliseconds; the longer time counts, so that the bytes stay bounded.')
})

export const controllerSettings = z.strictObject({
  ...commonSettings,
  lease: leaseSettings.prefault({}),
  loads: loadSettings.prefault({}),
  rolling: rollingSettings.prefault({}),
  drain: drainSettings.prefault({}),
  snapshots: snapshotSettings.prefault({}),
  checkEveryMs: durationMs.default(500)
    .describe('Time between two looks at the fleet while something is to be done, in milliseconds.'),
  settled: settledSettings.prefault({}),
  placementEveryMs: durationMs.default(500)
    .describe('Least time between two writes of where one model is served, in milliseconds.')
})
export type ControllerSettings = z.infer<typeof controllerSettings>
