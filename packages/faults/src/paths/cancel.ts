/** The cancel path: a running job is cancelled, including during a commit. */
import assert from 'node:assert/strict'
import { createJobClient, type JobResult } from '@pimentoplank/standins'
import type { GateOptions } from '../control'
import { MAX_WAIT_MS, type FaultTestbed } from '../deploy'
import { findRunningEngine, getEngineRuns, setEngineFaults } from '../faultInjectors'
import { waitFor, waitForResponse } from '../waitFor'
import { assertAtMostOnce, createItems, findChunkOwner, submitUntilAccepted } from './batch'
import { reachStep, type HeldStep, type PathRun } from './types'

const ITEMS = 120
const HOLD_TOKENS = 2
const FINAL_STATES = new Set(['cancelled', 'done'])

/** Creates a run of the path. */
export function createCancelPath (testbed: FaultTestbed): PathRun {
  const items = createItems(ITEMS)
  const jobs = createJobClient(testbed.batch)
  let id: string

  async function submitHeldJob (): Promise<void> {
    await setEngineFaults(testbed, { holdAfterTokens: HOLD_TOKENS })
    id = await submitUntilAccepted(testbed, items)
  }

  const resume = async (): Promise<void> => await setEngineFaults(testbed, { holdAfterTokens: null })

  async function reachRunning (): Promise<HeldStep> {
    await submitHeldJob()
    const target = await findRunningEngine(testbed, (content) => content.includes('Item '))
    return { carrier: await findChunkOwner(testbed, id), target, resume }
  }

  /** Holds the platform write of the cancellation. */
  async function reachCancel (when: GateOptions['when']): Promise<HeldStep> {
    await submitHeldJob()
    await findRunningEngine(testbed, (content) => content.includes('Item '))
    const gate = await testbed.platform.gate({ kind: 'job', operation: 'put', when })
    jobs.cancel(id).catch(() => undefined)
    const call = await gate.waitForCall()
    return { carrier: call.instance, gate, resume }
  }

  /** Cancels the job while a commit of a runner is held. */
  async function reachCommit (when: GateOptions['when']): Promise<HeldStep> {
    const segment = await testbed.platform.gate({ kind: 'segment', operation: 'put', when: 'after' })
    id = await submitUntilAccepted(testbed, items)
    const { instance } = await segment.waitForCall()
    const gate = await testbed.platform.gate({ kind: 'checkpoint', operation: 'put', when, instance })
    await segment.release('go')
    await gate.waitForCall()
    await cancelUntilAccepted()
    return { carrier: instance, gate }
  }

  async function cancelUntilAccepted (): Promise<void> {
    await waitFor('the cancellation to be accepted', async () => {
      const status = await jobs.cancel(id).catch(() => undefined)
      // 409: the job was done before the cancellation arrived.
      return status !== undefined && (status < 300 || status === 409) ? true : undefined
    }, MAX_WAIT_MS)
  }

  async function readResults (): Promise<JobResult[]> {
    return await waitForResponse('the results', async () => await jobs.getResults(id), MAX_WAIT_MS)
  }

  const steps = {
    running: reachRunning,
    'cancel not written': async () => await reachCancel('before'),
    'cancel written': async () => await reachCancel('after'),
    'commit not written': async () => await reachCommit('before'),
    'commit written': async () => await reachCommit('after')
  }

  async function finish (): Promise<void> {
    await cancelUntilAccepted()
    await waitFor('the job to end', async () => {
      const status = await jobs.getStatus(id).catch(() => undefined)
      return status !== undefined && FINAL_STATES.has(status.state) ? true : undefined
    }, MAX_WAIT_MS)
  }

  async function check (): Promise<void> {
    const { state, endedAt } = await waitForResponse('the status', async () => await jobs.getStatus(id), MAX_WAIT_MS)
    assert.equal(state, 'cancelled')
    const before = await readResults()
    await waitFor('every run of the job to end', async () => {
      const runs = await getEngineRuns(testbed)
      return runs.every((run) => run.outcome !== 'running') || undefined
    }, MAX_WAIT_MS)
    const late = (await getEngineRuns(testbed))
      .filter((run) => run.content.includes('Item ') && run.startedAt > Date.parse(endedAt!))
    assert.deepEqual(late, [], 'items started after the job was cancelled')
    assert.deepEqual(getSortedIds(await readResults()), getSortedIds(before), 'results changed after the job ended')
    assert.equal(new Set(getSortedIds(before)).size, before.length, 'an item has two results')
    await assertAtMostOnce(testbed, items)
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

function getSortedIds (results: JobResult[]): string[] {
  return results.map((result) => result.id).sort()
}
