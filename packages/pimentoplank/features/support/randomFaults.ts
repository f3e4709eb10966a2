/** Runs a batch fleet through random sequences of faults; fast-check prints the seed of a failure. */
import assert from 'node:assert/strict'
import * as fc from 'fast-check'
import { OBJECT_KINDS, type JobRecord } from '../../src/shared'
import { createBatchFleet, type BatchFleet } from './batchFleet'
import type { CallFault, MemoryCall } from './memoryPlatform'

const SECOND = 1000
const RUNNERS = ['a', 'b', 'c']
const KINDS = ['lease', 'job', 'chunk', 'checkpoint', 'segment']
const ITEMS = 16
const COMPLETION_TIMEOUT_MS = 400 * SECOND
/** Fixed by default, so that every run plays the same sequences; the environment variable selects others. */
const SEED = Number(process.env.PIMENTOPLANK_TEST_SEED ?? 20_261_203)

type Fault =
  | { type: 'wait', ms: number }
  | { type: 'freeze' | 'kill' | 'restart', runner: string }
  | { type: 'platform', fault: CallFault, kind: string, client: string, share: number }
  | { type: 'heal' | 'revoke' | 'cancel' }

const arbitraryFault: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 50, max: 40 * SECOND }) })
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom('freeze' as const, 'kill' as const, 'restart' as const),
      runner: fc.constantFrom(...RUNNERS)
    })
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('platform' as const),
      fault: fc.constantFrom<CallFault>('down', 'loseAnswer'),
      kind: fc.constantFrom(...KINDS),
      client: fc.constantFrom(...RUNNERS),
      share: fc.integer({ min: 1, max: 3 })
    })
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constantFrom('heal' as const, 'revoke' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cancel' as const) }) }
)

interface Run {
  fleet: BatchFleet
  job: string
  /** Process ids in use, by name. */
  processes: Map<string, string>
  /** Number of runs that had begun when the job became `cancelled`. */
  begunAtEnd?: number
}

/** Runs random sequences; each must end with the job in a final state and at most one result per item. */
export async function runRandomFaults (numRuns: number): Promise<void> {
  const sequence = fc.array(arbitraryFault, { minLength: 2, maxLength: 12 })
  const noRepeat = fc.array(fc.boolean(), { minLength: ITEMS, maxLength: ITEMS })
  const property = fc.asyncProperty(sequence, noRepeat, fc.integer(), runSequence)
  await fc.assert(property, { numRuns, seed: SEED, verbose: true })
}

async function runSequence (faults: Fault[], noRepeat: boolean[], seed: number): Promise<void> {
  const settings = { parallelism: 3, commit: { everyMs: SECOND } }
  const fleet = createBatchFleet({ chunkItems: 8, listed: RUNNERS, settings, seed })
  for (const id of RUNNERS) fleet.start(id)
  const job = await fleet.upload(noRepeat.map((flag, index) => ({ content: `roster ${index} `, noRepeat: flag })))
  const run: Run = { fleet, job, processes: new Map(RUNNERS.map((id) => [id, id])) }
  fleet.platform.feed().subscribe(OBJECT_KINDS.job, ({ object }) => {
    if ((object?.value as JobRecord).state === 'cancelled') run.begunAtEnd = fleet.targets.runs.length
  })
  try {
    for (const nextFault of faults) await applyFault(run, nextFault)
    await heal(run)
    await fleet.advanceUntil(
      async () => ['done', 'cancelled'].includes((await fleet.view(job)).state), COMPLETION_TIMEOUT_MS)
    await checkOutcome(run, noRepeat)
  } finally {
    await fleet.close()
  }
}

async function applyFault (run: Run, nextFault: Fault): Promise<void> {
  const { fleet, job, processes } = run
  switch (nextFault.type) {
    case 'wait': return await fleet.advance(nextFault.ms)
    case 'freeze':
      fleet.runners.get(processes.get(nextFault.runner)!)!.isFrozen = true
      return
    case 'kill': return fleet.kill(processes.get(nextFault.runner)!)
    case 'restart': return restart(run, nextFault.runner)
    case 'platform': return addPlatformFault(fleet, nextFault)
    case 'heal': return await heal(run)
    case 'revoke':
      fleet.targets.revoke()
      await fleet.advance(SECOND)
      return fleet.targets.allow()
    case 'cancel': await fleet.cancel(job)
  }
}

function restart ({ fleet, processes }: Run, name: string): void {
  const id = `${name}/${fleet.runners.size}`
  fleet.start(id)
  processes.set(name, id)
}

type PlatformFault = Extract<Fault, { type: 'platform' }>

function addPlatformFault (fleet: BatchFleet, { fault, kind, client, share }: PlatformFault): void {
  let calls = 0
  const before = fleet.platform.faultOf
  const matches = (call: MemoryCall): boolean => call.client.startsWith(client) && call.kind === kind
  fleet.platform.faultOf = (call) => matches(call) && ++calls % share === 0 ? fault : before(call)
}

/** Resumes frozen runners, ends all platform faults, and starts a runner if all were killed. */
async function heal (run: Run): Promise<void> {
  const { fleet } = run
  fleet.platform.faultOf = () => undefined
  for (const [id, entry] of fleet.runners) {
    if (entry.isFrozen && !entry.isKilled) {
      entry.isFrozen = false
      await entry.clock.jump(40 * SECOND)
    }
    if (entry.isKilled) fleet.kill(id)
  }
  if ([...fleet.runners.values()].every(({ isKilled }) => isKilled)) restart(run, 'a')
}

async function checkOutcome (run: Run, noRepeat: boolean[]): Promise<void> {
  const { fleet, job } = run
  const results = await fleet.results(job)
  const view = await fleet.view(job)
  assert.equal(new Set(results.map(({ id }) => id)).size, results.length, 'duplicate result ids')
  assert.equal(view.counts!.done + view.counts!.failed + view.counts!.unknown, results.length)
  if (view.state === 'done') assert.equal(results.length, ITEMS)
  for (const [index, mustNotRepeat] of noRepeat.entries()) {
    const runs = fleet.targets.runs
      .filter(({ content, isResumed }) => content.includes(`roster ${index} `) && !isResumed)
    if (mustNotRepeat) assert.ok(runs.length <= 1, `item ${index} ran ${runs.length} times`)
    const result = results.find(({ id }) => id === `item-${index}`)
    if (result?.status === 'done') assert.equal(getText(result.response), '1 2 3 4 5 ')
    if (mustNotRepeat && runs.length > 0) assert.ok(result !== undefined, `item ${index} ran but has no result`)
  }
  await fleet.advance(60 * SECOND)
  assert.deepEqual(await fleet.results(job), results, 'results changed after the job ended')
  assert.deepEqual(await fleet.view(job), view)
  if (run.begunAtEnd !== undefined) assert.equal(fleet.targets.runs.length, run.begunAtEnd, 'runs began after the end')
}

function getText (response: unknown): string {
  const { choices } = response as { choices: Array<{ message: { content: string } }> }
  return choices[0]!.message.content
}
