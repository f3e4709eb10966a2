/** The batch path: a job is uploaded, its chunks are claimed and run, results are committed, and the job ends. */
import assert from 'node:assert/strict'
import { createJobClient, type JobResult } from '@pimentoplank/standins'
import type { GateOptions } from '../control'
import { MAX_WAIT_MS, MODEL, type FaultTestbed } from '../deploy'
import { findRunningEngine, getEngineRuns, setEngineFaults } from '../faultInjectors'
import { waitFor, waitForResponse } from '../waitFor'
import { reachStep, type HeldStep, type PathRun } from './types'

const ITEMS = 60
/** One of this many items is an at-most-once item. */
const AT_MOST_ONCE_EVERY = 10
const HOLD_TOKENS = 2
const MAX_TOKENS = 6
const FINAL_STATES = new Set(['done', 'cancelled'])

export interface BatchItemLine {
  id: string
  noRepeat: boolean
  body: { model: string, max_tokens: number, messages: Array<{ role: string, content: string }> }
}

/** Steps at which the first platform call of a kind is held. */
const GATED_STEPS: Record<string, GateOptions> = {
  'chunk not written': { kind: 'chunk', operation: 'put', when: 'before' },
  'chunk written': { kind: 'chunk', operation: 'put', when: 'after' },
  'job not written': { kind: 'job', operation: 'put', when: 'before' },
  'job written': { kind: 'job', operation: 'put', when: 'after' },
  'claim not written': { kind: 'checkpoint', operation: 'put', when: 'before' },
  'claim written': { kind: 'checkpoint', operation: 'put', when: 'after' },
  'segment not written': { kind: 'segment', operation: 'put', when: 'before' },
  'segment written': { kind: 'segment', operation: 'put', when: 'after' }
}

/** Steps at which a later call is held, after a runner has written a segment. */
const COMMIT_STEPS: Record<string, GateOptions> = {
  'commit not written': { kind: 'checkpoint', operation: 'put', when: 'before' },
  'commit written': { kind: 'checkpoint', operation: 'put', when: 'after' },
  'end not written': { kind: 'job', operation: 'put', when: 'before' },
  'end written': { kind: 'job', operation: 'put', when: 'after' }
}

/** Creates a run of the path. */
export function createBatchPath (testbed: FaultTestbed): PathRun {
  const items = createItems()
  const jobs = createJobClient(testbed.batch)
  let accepted: Promise<string>

  const steps = {
    ...createStepDrivers(GATED_STEPS, reachGate),
    ...createStepDrivers(COMMIT_STEPS, reachCommit),
    running: reachRunning
  }

  function submit (): void {
    accepted = submitUntilAccepted(testbed, items)
    accepted.catch(() => undefined)
  }

  async function reachGate (options: GateOptions): Promise<HeldStep> {
    const gate = await testbed.platform.gate(options)
    submit()
    const call = await gate.waitForCall()
    return { carrier: call.instance, gate }
  }

  async function reachCommit (options: GateOptions): Promise<HeldStep> {
    const segment = await testbed.platform.gate({ kind: 'segment', operation: 'put', when: 'after' })
    submit()
    const { instance } = await segment.waitForCall()
    // The runner that completes the last chunk writes the end of the job, so any instance may make that call.
    const gate = await testbed.platform.gate({ ...options, ...(options.kind === 'job' ? {} : { instance }) })
    await segment.release('go')
    const call = await gate.waitForCall()
    return { carrier: call.instance, gate }
  }

  async function reachRunning (): Promise<HeldStep> {
    await setEngineFaults(testbed, { holdAfterTokens: HOLD_TOKENS })
    submit()
    const id = await accepted
    const target = await findRunningEngine(testbed, (content) => content.includes('Item '))
    const carrier = await findChunkOwner(testbed, id)
    return { carrier, target, resume: async () => await setEngineFaults(testbed, { holdAfterTokens: null }) }
  }

  async function finish (): Promise<void> {
    const id = await accepted
    await waitFor('the job to end', async () => {
      const status = await jobs.getStatus(id).catch(() => undefined)
      return status !== undefined && FINAL_STATES.has(status.state) ? true : undefined
    }, MAX_WAIT_MS)
  }

  async function check (): Promise<void> {
    const id = await accepted
    const results = await waitForResponse('the results', async () => await jobs.getResults(id), MAX_WAIT_MS)
    assertOneResultPerItem(items, results)
    await assertAtMostOnce(testbed, items)
    const repeatable = new Set(items.filter((item) => !item.noRepeat).map((item) => item.id))
    const notDone = results.filter((result) => repeatable.has(result.id) && result.status !== 'done')
    assert.deepEqual(notDone, [])
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

function createStepDrivers (
  gates: Readonly<Record<string, GateOptions>>,
  reach: (options: GateOptions) => Promise<HeldStep>
): Record<string, () => Promise<HeldStep>> {
  return Object.fromEntries(Object.entries(gates).map(([step, options]) => [step, async () => await reach(options)]))
}

/** Creates the items of a job; one in `AT_MOST_ONCE_EVERY` is an at-most-once item. */
export function createItems (count = ITEMS): BatchItemLine[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `item-${index}`,
    noRepeat: index % AT_MOST_ONCE_EVERY === 0,
    body: {
      model: MODEL,
      max_tokens: MAX_TOKENS,
      messages: [{ role: 'user', content: `Item ${index}.` }]
    }
  }))
}

/** Submits a job until it is accepted, through another instance after each failure. */
export async function submitUntilAccepted (testbed: FaultTestbed, items: BatchItemLine[]): Promise<string> {
  const jobs = createJobClient(testbed.batch)
  return await waitFor('the job to be accepted', async () => {
    const answer = await jobs.submit('the-job', items).catch(() => undefined)
    if (answer === undefined || answer.statusCode >= 300) return undefined
    return (answer.body as { id: string }).id
  }, MAX_WAIT_MS)
}

/** Waits for a runner that owns a chunk of a job; resolves with its id. */
export async function findChunkOwner (testbed: FaultTestbed, jobId: string): Promise<string> {
  return await waitFor('a runner to own a chunk', async () => {
    const checkpoints = await testbed.platform.listObjects('checkpoint')
    const owners = checkpoints
      .filter((object) => object.name.includes(jobId) || checkpoints.length > 0)
      .map((object) => (object.value as { owner: { lease: string } | null }).owner?.lease)
    const runner = owners.find((lease) => lease !== undefined)
    return runner === undefined ? undefined : /batch-\d+/.exec(runner)?.[0]
  }, MAX_WAIT_MS)
}

/** Asserts that each item has exactly one result and that there are no other results. */
export function assertOneResultPerItem (items: BatchItemLine[], results: JobResult[]): void {
  const ids = results.map((result) => result.id).sort()
  assert.deepEqual(ids, items.map((item) => item.id).sort())
}

/** Asserts, from the runs recorded by the engines, that no at-most-once item ran twice. */
export async function assertAtMostOnce (testbed: FaultTestbed, items: BatchItemLine[]): Promise<void> {
  const runs = await getEngineRuns(testbed)
  for (const item of items.filter((item) => item.noRepeat)) {
    const own = runs.filter((run) => run.content.includes(item.body.messages[0]!.content))
    assert.ok(own.length <= 1, `${item.id} ran ${own.length} times`)
  }
}
