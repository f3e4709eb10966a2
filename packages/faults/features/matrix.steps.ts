import { After, Given, Then, When } from '@cucumber/cucumber'
import { deploy, type FaultBed } from '../src/deploy'
import { PATHS, type PathName } from '../src/paths'
import type { PathRun } from '../src/paths/types'
import { STRIKES, type StrikeName } from '../src/strikes'

const MATRIX_TIMEOUT_MS = 120_000

interface MatrixWorld {
  bed: FaultBed
  path: PathRun
  strike: StrikeName
}

Given('a deployment for the {word} path', { timeout: MATRIX_TIMEOUT_MS }, async function (this: MatrixWorld, path: PathName) {
  const { deployOptions, create } = PATHS[path]
  this.bed = await deploy(deployOptions)
  this.path = create(this.bed)
})

When('{string} strikes at {string}', { timeout: MATRIX_TIMEOUT_MS },
  async function (this: MatrixWorld, strike: StrikeName, step: string) {
    this.strike = strike
    const moment = await this.path.reach(step)
    const heal = await STRIKES[strike](this.bed, moment)
    await moment.resume?.()
    await moment.gate?.release('go')
    await heal()
    await this.path.finish()
  })

Then('the path keeps its guarantee', { timeout: MATRIX_TIMEOUT_MS }, async function (this: MatrixWorld) {
  await this.path.check(this.strike)
})

After({ timeout: MATRIX_TIMEOUT_MS }, async function (this: Partial<MatrixWorld>) {
  await this.bed?.close()
})
