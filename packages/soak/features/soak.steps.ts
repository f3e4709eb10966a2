import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import {
  CUT_REGRESSIONS, EARLY_SIGHUPS, EVERY_FAULT, LOADING_REGRESSIONS, OLD_ENTRY_REGRESSIONS, REGRESSIONS, runSeed,
  SHORT_FAULTS, STREAM_REGRESSIONS,
  type Regression, type SeedOutcome
} from '../src'

interface SoakWorld {
  outcomes: SeedOutcome[]
}

const RUN_TIMEOUT_MS = 600_000
const MS_PER_S = 1000
const MAX_PARALLEL_SEEDS = 2
/** Deployment size of the recorded seeds; with another size, the same seed gives a different run. */
const FLEET_OPTIONS = { instances: 5, targets: 8, folder: 'reports/soak' }

When('seed {int} runs for {int} s', { timeout: RUN_TIMEOUT_MS }, async function (
  this: SoakWorld, seed: number, seconds: number
) {
  const lengthMs = seconds * MS_PER_S
  this.outcomes = [await runSeed({ seed, lengthMs, ...EVERY_FAULT, ...FLEET_OPTIONS })]
})

async function runRegressions (regressions: readonly Regression[]): Promise<SeedOutcome[]> {
  const outcomes: SeedOutcome[] = []
  for (let start = 0; start < regressions.length; start += MAX_PARALLEL_SEEDS) {
    const seeds = regressions.slice(start, start + MAX_PARALLEL_SEEDS)
    outcomes.push(...await Promise.all(seeds.map(async ({ seed, seconds, ...faults }) => await runSeed({
      seed, lengthMs: seconds * MS_PER_S, ...SHORT_FAULTS, ...faults, ...FLEET_OPTIONS
    }))))
  }
  return outcomes
}

When('the seeds that failed before run', { timeout: RUN_TIMEOUT_MS }, async function (this: SoakWorld) {
  this.outcomes = await runRegressions(REGRESSIONS)
})

When('the seeds that cut streams or mixed versions run', { timeout: RUN_TIMEOUT_MS }, async function (
  this: SoakWorld
) {
  this.outcomes = await runRegressions(STREAM_REGRESSIONS)
})

When('the seeds in which entries of targets were out of date run', { timeout: RUN_TIMEOUT_MS }, async function (
  this: SoakWorld
) {
  this.outcomes = await runRegressions(OLD_ENTRY_REGRESSIONS)
})

When('the seeds in which a program ran before it was loaded run', { timeout: RUN_TIMEOUT_MS }, async function (
  this: SoakWorld
) {
  this.outcomes = await runRegressions(LOADING_REGRESSIONS)
})

When('the seeds in which instances were cut off run', { timeout: RUN_TIMEOUT_MS }, async function (this: SoakWorld) {
  this.outcomes = await runRegressions(CUT_REGRESSIONS)
})

When('the seeds whose hang-up met a starting process run', { timeout: RUN_TIMEOUT_MS }, async function (
  this: SoakWorld
) {
  this.outcomes = await runRegressions(EARLY_SIGHUPS)
})

Then('no guarantee was violated', function (this: SoakWorld) {
  assert.deepEqual(this.outcomes.flatMap(({ seed, broken }) => broken.map((text) => `seed ${seed}: ${text}`)), [])
})
