import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { EARLY_HANG_UPS, REGRESSIONS, runSeed, type Regression, type SeedOutcome } from '../src'

interface SoakWorld {
  outcomes: SeedOutcome[]
}

const RUN_TIMEOUT_MS = 600_000
const MS_PER_S = 1000
/** The size that seeds were played with; another size makes other runs of them. */
const SIZE = { instances: 5, targets: 8, folder: 'reports/soak' }

When('seed {int} is played for {int} s', { timeout: RUN_TIMEOUT_MS }, async function (this: SoakWorld, seed: number, seconds: number) {
  this.outcomes = [await runSeed({ seed, lengthMs: seconds * MS_PER_S, ...SIZE })]
})

async function play (regressions: readonly Regression[]): Promise<SeedOutcome[]> {
  return await Promise.all(regressions.map(async ({ seed, seconds }) =>
    await runSeed({ seed, lengthMs: seconds * MS_PER_S, ...SIZE })))
}

When('the seeds that failed before are played', { timeout: RUN_TIMEOUT_MS }, async function (this: SoakWorld) {
  this.outcomes = await play(REGRESSIONS)
})

When('the seeds whose hang-up met a starting process are played', { timeout: RUN_TIMEOUT_MS }, async function (this: SoakWorld) {
  this.outcomes = await play(EARLY_HANG_UPS)
})

Then('no promise was broken', function (this: SoakWorld) {
  for (const { seed, broken } of this.outcomes) assert.deepEqual(broken, [], `seed ${seed}`)
})
