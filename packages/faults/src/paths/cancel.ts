/** The cancel path: a running job is cancelled, including during a commit. */
import assert from 'node:assert/strict'
import { createJobClient, type JobResult } from '@pimentoplank/standins'
import type { GateOptions } from '../control'
import { BOUND_MS, type FaultBed } from '../deploy'
import { engineRunning, engineRuns, setEngines } from '../strikes'
import { until, untilAnswered } from '../until'
import { assertNoRepeats, createItems, holderOf, submitUntilAccepted } from './batch'
import { reachFrom, type Moment, type PathRun } from './types'

const ITEMS = 120
const HOLD_TOKENS = 2
const FINAL_STATES = new Set(['cancelled', 'done'])

/** Creates a run of the path. */
export function createCancelPath (testbed: FaultBed): PathRun {
  const items = createItems(ITEMS)
  const jobs = createJobClient(testbed.batch)
  let id: string

  async function submitHeldJob (): Promise<void> {
    await setEngines(testbed, { holdAfterTokens: HOLD_TOKENS })
    id = await submitUntilAccepted(testbed, items)
  }

  const resume = async (): Promise<void> => await setEngines(testbed, { holdAfterTokens: null })

  async function reachRunning (): Promise<Moment> {
    await submitHeldJob()
    const target = await engineRunning(testbed, (content) => content.includes('Item '))
    return { carrier: await holderOf(testbed, id), target, resume }
  }

  /** Holds the platform write of the cancellation. */
  async function reachCancel (when: GateOptions['when']): Promise<Moment> {
    await submitHeldJob()
    await engineRunning(testbed, (content) => content.includes('Item '))
    const gate = await testbed.platform.gate({ kind: 'job', operation: 'put', when })
    jobs.cancel(id).catch(() => undefined)
    const call = await gate.held()
    return { carrier: call.instance, gate, resume }
  }

  /** Cancels the job while a commit of a runner is held. */
  async function reachCommit (when: GateOptions['when']): Promise<Moment> {
    const segment = await testbed.platform.gate({ kind: 'segment', operation: 'put', when: 'after' })
    id = await submitUntilAccepted(testbed, items)
    const { instance } = await segment.held()
    const gate = await testbed.platform.gate({ kind: 'checkpoint', operation: 'put', when, instance })
    await segment.release('go')
    await gate.held()
    await cancelUntilAccepted()
    return { carrier: instance, gate }
  }

  async function cancelUntilAccepted (): Promise<void> {
    await until('the cancellation to be accepted', async () => {
      const status = await jobs.cancel(id).catch(() => undefined)
      // 409: the job was done before the cancellation arrived.
      return status !== undefined && (status < 300 || status === 409) ? true : undefined
    }, BOUND_MS)
  }

  async function readResults (): Promise<JobResult[]> {
    return await untilAnswered('the results', async () => await jobs.results(id), BOUND_MS)
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
    await until('the job to end', async () => {
      const status = await jobs.status(id).catch(() => undefined)
      return status !== undefined && FINAL_STATES.has(status.state) ? true : undefined
    }, BOUND_MS)
  }

  async function check (): Promise<void> {
    const { state, endedAt } = await untilAnswered('the status', async () => await jobs.status(id), BOUND_MS)
    assert.equal(state, 'cancelled')
    const before = await readResults()
    await until('every run of the job to end', async () => {
      const runs = await engineRuns(testbed)
      return runs.every((run) => run.outcome !== 'running') || undefined
    }, BOUND_MS)
    const late = (await engineRuns(testbed))
      .filter((run) => run.content.includes('Item ') && run.startedAt > Date.parse(endedAt!))
    assert.deepEqual(late, [], 'items started after the job was cancelled')
    assert.deepEqual(getSortedIds(await readResults()), getSortedIds(before), 'results changed after the job ended')
    assert.equal(new Set(getSortedIds(before)).size, before.length, 'an item has two results')
    await assertNoRepeats(testbed, items)
  }

  return { reach: async (step) => await reachFrom(steps, step), finish, check }
}

function getSortedIds (results: JobResult[]): string[] {
  return results.map((result) => result.id).sort()
}
