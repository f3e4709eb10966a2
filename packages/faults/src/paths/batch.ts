/** The batch path: upload, claim, run, commit and end of a job. */
import assert from 'node:assert/strict'
import { createJobClient, type JobResult } from '@pimentoplank/standins'
import type { GateOptions } from '../control'
import { BOUND_MS, MODEL, type FaultBed } from '../deploy'
import { engineRunning, engineRuns, setEngines } from '../strikes'
import { until, untilAnswered } from '../until'
import { reachFrom, type Moment, type PathRun } from './types'

const ITEMS = 60
/** Every so many items, one is not to be repeated. */
const NO_REPEAT_EVERY = 10
const HOLD_TOKENS = 2
const MAX_TOKENS = 6
const FINAL_STATES = new Set(['done', 'cancelled'])

export interface BatchItemLine {
  id: string
  noRepeat: boolean
  body: { model: string, max_tokens: number, messages: Array<{ role: string, content: string }> }
}

/** Steps that a platform call marks. */
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

/** Steps at which a later call of the runner that wrote a segment is held. */
const COMMIT_STEPS: Record<string, GateOptions> = {
  'commit not written': { kind: 'checkpoint', operation: 'put', when: 'before' },
  'commit written': { kind: 'checkpoint', operation: 'put', when: 'after' },
  'end not written': { kind: 'job', operation: 'put', when: 'before' },
  'end written': { kind: 'job', operation: 'put', when: 'after' }
}

/** Creates a run of the path. */
export function createBatchPath (bed: FaultBed): PathRun {
  const items = createItems()
  const jobs = createJobClient(bed.batch)
  let accepted: Promise<string>

  const steps = {
    ...mapSteps(GATED_STEPS, reachGate),
    ...mapSteps(COMMIT_STEPS, reachCommit),
    running: reachRunning
  }

  function submit (): void {
    accepted = submitUntilAccepted(bed, items)
    accepted.catch(() => undefined)
  }

  async function reachGate (options: GateOptions): Promise<Moment> {
    const gate = await bed.platform.gate(options)
    submit()
    const call = await gate.held()
    return { carrier: call.instance, gate }
  }

  async function reachCommit (options: GateOptions): Promise<Moment> {
    const segment = await bed.platform.gate({ kind: 'segment', operation: 'put', when: 'after' })
    submit()
    const { instance } = await segment.held()
    // The end of a job is written by whoever completes its last chunk.
    const gate = await bed.platform.gate({ ...options, ...(options.kind === 'job' ? {} : { instance }) })
    await segment.release('go')
    const call = await gate.held()
    return { carrier: call.instance, gate }
  }

  async function reachRunning (): Promise<Moment> {
    await setEngines(bed, { holdAfterTokens: HOLD_TOKENS })
    submit()
    const id = await accepted
    const target = await engineRunning(bed, (content) => content.includes('Item '))
    const carrier = await holderOf(bed, id)
    return { carrier, target, resume: async () => await setEngines(bed, { holdAfterTokens: null }) }
  }

  async function finish (): Promise<void> {
    const id = await accepted
    await until('the job to end', async () => {
      const status = await jobs.status(id).catch(() => undefined)
      return status !== undefined && FINAL_STATES.has(status.state) ? true : undefined
    }, BOUND_MS)
  }

  async function check (): Promise<void> {
    const id = await accepted
    const results = await untilAnswered('the results', async () => await jobs.results(id), BOUND_MS)
    assertEachOnce(items, results)
    await assertNoRepeats(bed, items)
    const repeatable = new Set(items.filter((item) => !item.noRepeat).map((item) => item.id))
    const notDone = results.filter((result) => repeatable.has(result.id) && result.status !== 'done')
    assert.deepEqual(notDone, [])
  }

  return { reach: async (step) => await reachFrom(steps, step), finish, check }
}

function mapSteps (
  gates: Readonly<Record<string, GateOptions>>,
  reach: (options: GateOptions) => Promise<Moment>
): Record<string, () => Promise<Moment>> {
  return Object.fromEntries(Object.entries(gates).map(([step, options]) => [step, async () => await reach(options)]))
}

/** Items of a job; one in `NO_REPEAT_EVERY` is not to be repeated. */
export function createItems (count = ITEMS): BatchItemLine[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `item-${index}`,
    noRepeat: index % NO_REPEAT_EVERY === 0,
    body: {
      model: MODEL,
      max_tokens: MAX_TOKENS,
      messages: [{ role: 'user', content: `Item ${index}.` }]
    }
  }))
}

/** Sends a job, through another instance after each failure, until it is accepted. */
export async function submitUntilAccepted (bed: FaultBed, items: BatchItemLine[]): Promise<string> {
  const jobs = createJobClient(bed.batch)
  return await until('the job to be accepted', async () => {
    const answer = await jobs.submit('the-job', items).catch(() => undefined)
    if (answer === undefined || answer.statusCode >= 300) return undefined
    return (answer.body as { id: string }).id
  }, BOUND_MS)
}

/** Finds the runner that holds a chunk of a job. */
export async function holderOf (bed: FaultBed, jobId: string): Promise<string> {
  return await until('a runner to hold a chunk', async () => {
    const checkpoints = await bed.platform.objects('checkpoint')
    const owners = checkpoints
      .filter((object) => object.name.includes(jobId) || checkpoints.length > 0)
      .map((object) => (object.value as { owner: { lease: string } | null }).owner?.lease)
    const runner = owners.find((lease) => lease !== undefined)
    return runner === undefined ? undefined : /batch-\d+/.exec(runner)?.[0]
  }, BOUND_MS)
}

/** Each item has exactly one result, and nothing else has one. */
export function assertEachOnce (items: BatchItemLine[], results: JobResult[]): void {
  const ids = results.map((result) => result.id).sort()
  assert.deepEqual(ids, items.map((item) => item.id).sort())
}

/** Counts at the engines that no item was run twice that must not be. */
export async function assertNoRepeats (bed: FaultBed, items: BatchItemLine[]): Promise<void> {
  const runs = await engineRuns(bed)
  for (const item of items.filter((item) => item.noRepeat)) {
    const own = runs.filter((run) => run.content.includes(item.body.messages[0]!.content))
    assert.ok(own.length <= 1, `${item.id} ran ${own.length} times`)
  }
}
