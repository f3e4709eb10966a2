/** The order path: a new model version is loaded on every engine while live requests continue. */
import assert from 'node:assert/strict'
import type { LiveResponse } from '@pimentoplank/standins'
import { runCli } from '../cli'
import type { GateOptions } from '../control'
import { MAX_WAIT_MS, ENGINE_SERVICE, MODEL, type FaultTestbed } from '../deploy'
import { getRunningEngines } from '../faultInjectors'
import { waitFor } from '../waitFor'
import { reachStep, type HeldStep, type PathRun } from './types'

const NEW_VERSION = '2'
const LIVE_EVERY_MS = 50
const CONTROLLER_LEASE = 'controller'

/**
 * Creates a run of the path.
 *
 * @param checksFencing - true when the engines refuse outdated fencing numbers
 */
export function createOrderPath (testbed: FaultTestbed, checksFencing: boolean): PathRun {
  const answers: Array<Promise<LiveResponse>> = []
  const live = setInterval(() => {
    answers.push(testbed.live.chat({ model: MODEL, prompt: `Live ${answers.length}?`, maxTokens: 4 }))
  }, LIVE_EVERY_MS)

  async function changeVersion (): Promise<void> {
    const outcome = await runCli(testbed, ['apply'], {
      base: 1,
      changed: [{ kind: 'model', name: MODEL, service: ENGINE_SERVICE, version: NEW_VERSION, weightsMb: 10 }]
    })
    assert.equal(outcome.code, 0, outcome.stderr)
  }

  async function findLeaseHolder (): Promise<string> {
    return await waitFor('a controller to hold the lease', async () => {
      const lease = (await testbed.platform.listObjects('lease')).find((object) => object.name === CONTROLLER_LEASE)
      const { holder } = (lease?.value ?? { holder: '' }) as { holder: string }
      return /controller-\d+/.exec(holder)?.[0]
    }, MAX_WAIT_MS)
  }

  /** Holds the transfer of the new version's weights to an engine. */
  async function reachLoading (): Promise<HeldStep> {
    const gate = await testbed.platform.gate({ kind: '_weights', operation: 'transfer', when: 'before' })
    await changeVersion()
    await gate.waitForCall()
    const target = await waitFor('an engine to load', async () => {
      for (const id of getRunningEngines(testbed)) {
        const { models } = await testbed.target(id).getEngineState()
        if (models.some((model) => model.status === 'loading')) return id
      }
      return undefined
    }, MAX_WAIT_MS)
    return { carrier: await findLeaseHolder(), target, gate }
  }

  /** Holds the controller's write of the model placement. */
  async function reachPlacement (when: GateOptions['when']): Promise<HeldStep> {
    const carrier = await findLeaseHolder()
    const gate = await testbed.platform.gate({ kind: 'status', operation: 'put', when, instance: carrier })
    await changeVersion()
    await gate.waitForCall()
    return { carrier, gate }
  }

  async function reachLease (when: GateOptions['when']): Promise<HeldStep> {
    const carrier = await findLeaseHolder()
    const gate = await testbed.platform.gate({ kind: 'lease', operation: 'put', when, instance: carrier })
    await gate.waitForCall()
    await changeVersion()
    return { carrier, gate }
  }

  const steps = {
    loading: reachLoading,
    'placement not written': async () => await reachPlacement('before'),
    'placement written': async () => await reachPlacement('after'),
    'lease not renewed': async () => await reachLease('before'),
    'lease renewed': async () => await reachLease('after')
  }

  async function finish (): Promise<void> {
    await waitFor('every engine to serve the new version only', async () => {
      const states = await Promise.all(
        getRunningEngines(testbed).map(async (id) => await testbed.target(id).getEngineState()))
      // The controller doesn't change engines that are leaving.
      const isDone = states.filter(({ state }) => state === 'live').every(({ models }) => {
        const ours = models.filter((model) => model.name === MODEL)
        return ours.length === 1 && ours[0]!.version === NEW_VERSION && ours[0]!.status === 'ready'
      })
      return isDone || undefined
    }, MAX_WAIT_MS)
    clearInterval(live)
  }

  async function check (fault: string): Promise<void> {
    clearInterval(live)
    const seen = await Promise.all(answers)
    const incomplete = seen.filter((answer) => !answer.isComplete)
    if (!fault.includes('kill target')) assert.deepEqual(incomplete.map(describeResponse), [])
    if (checksFencing) for (const id of getRunningEngines(testbed)) await checkOrders(id)
  }

  /** Asserts that no order took effect after one with a higher fencing number. */
  async function checkOrders (id: string): Promise<void> {
    const orders = (await testbed.target(id).getOrders()).filter((order) => order.applied === true)
    let highest = 0
    for (const order of orders) {
      assert.ok(order.fencing >= highest, `${id} applied fencing number ${order.fencing} after ${highest}`)
      highest = order.fencing
    }
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

function describeResponse ({ status, reason, failure }: LiveResponse): string {
  return [status, reason, failure].join(' ')
}
