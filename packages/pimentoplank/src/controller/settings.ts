/** Settings of the controller. */
import * as z from 'zod'
import { commonSettings, MINUTE_MS, SECOND_MS } from '../shared'

const durationMs = z.int().min(1).max(60 * MINUTE_MS)

export const leaseSettings = z.strictObject({
  lengthMs: durationMs.default(10 * SECOND_MS)
    .describe('Time without a renewal after which another controller takes over, in milliseconds.'),
  renewEveryMs: durationMs.default(3 * SECOND_MS).describe('Time between renewals, in milliseconds.')
})

export const loadSettings = z.strictObject({
  maxConcurrent: z.int().min(1).default(4).describe('Most concurrent loads in the whole fleet.'),
  mbPerSecond: z.number().positive().default(10_000).describe('Highest rate of ordered weights, in megabytes a second.')
})

export const rollingSettings = z.strictObject({
  minServingShare: z.number().min(0).max(1).default(0.75)
    .describe('Least share of the replicas of a model that keep serving during a version change.')
})

export const drainSettings = z.strictObject({
  spreadMs: durationMs.default(6 * SECOND_MS)
    .describe('Time until every instance has learned that a target no longer serves a model, in milliseconds.'),
  maxMs: durationMs.default(MINUTE_MS).describe('Longest wait for running requests before an unload, in milliseconds.')
})

export const snapshotSettings = z.strictObject({
  everyNotes: z.int().min(1).default(100).describe('Release notes between two snapshots of the configuration.'),
  keepNotes: z.int().min(0).default(50).describe('Release notes that are kept in the log below the newest snapshot.')
})

export const settledSettings = z.strictObject({
  everyMs: durationMs.default(5 * SECOND_MS)
    .describe('Time between two checks of a fleet that matches its configuration, in milliseconds.'),
  perEngineMs: z.number().min(0).default(100)
    .describe('The same for each engine, in milliseconds; the longer time applies, to bound the traffic of large fleets.')
})

export const controllerSettings = z.strictObject({
  ...commonSettings,
  lease: leaseSettings.prefault({}),
  loads: loadSettings.prefault({}),
  rolling: rollingSettings.prefault({}),
  drain: drainSettings.prefault({}),
  snapshots: snapshotSettings.prefault({}),
  checkEveryMs: durationMs.default(500)
    .describe('Time between two checks of the fleet while it differs from its configuration, in milliseconds.'),
  settled: settledSettings.prefault({}),
  placementEveryMs: durationMs.default(500)
    .describe('Least time between two writes of the placement of one model, in milliseconds.')
})
export type ControllerSettings = z.infer<typeof controllerSettings>
