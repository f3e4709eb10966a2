import { After, Given, Then, When } from '@cucumber/cucumber'
import { deploy, type FaultTestbed } from '../src/deploy'
import { PATHS, type PathName } from '../src/paths'
import type { PathRun } from '../src/paths/types'
import { FAULT_INJECTORS, type FaultName } from '../src/faultInjectors'

const STEP_TIMEOUT_MS = 120_000

interface MatrixWorld {
  testbed: FaultTestbed
  path: PathRun
  fault: FaultName
}

Given('a deployment for the {word} path', { timeout: STEP_TIMEOUT_MS }, async function (this: MatrixWorld, path: PathName) {
  const { deployOptions, create } = PATHS[path]
  this.testbed = await deploy(deployOptions)
  this.path = create(this.testbed)
})

When('{string} occurs at {string}', { timeout: STEP_TIMEOUT_MS },
  async function (this: MatrixWorld, fault: FaultName, step: string) {
    this.fault = fault
    const heldStep = await this.path.reach(step)
    const heal = await FAULT_INJECTORS[fault](this.testbed, heldStep)
    await heldStep.resume?.()
    await heldStep.gate?.release('go')
    await heal()
    await this.path.finish()
  })

Then('the path keeps its guarantee', { timeout: STEP_TIMEOUT_MS }, async function (this: MatrixWorld) {
  await this.path.check(this.fault)
})

After({ timeout: STEP_TIMEOUT_MS }, async function (this: Partial<MatrixWorld>) {
  await this.testbed?.close()
})
