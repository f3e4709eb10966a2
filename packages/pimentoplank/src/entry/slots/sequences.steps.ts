import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { slotSchedulerSettings, type SlotGrant, type WorkClass } from '../../shared'
import { createSlotRig, RIG_SERVICE, type SlotRig } from '../../../features/support/slotRig'

const OWNERS = 3
const TARGETS = 2
const SLOTS = 4
const HOLDERS = ['a', 'b', 'c']
const DEADLINE_MS = 8000
const STEP_TIMEOUT_MS = 120_000
const { partialShare, standInRanks } = slotSchedulerSettings.parse({})

type Step =
  | { type: 'ask', holder: string, workClass: WorkClass, account: string, deadlineMs: number }
  | { type: 'release', index: number, failed: boolean }
  | { type: 'obeyRevocations' }
  | { type: 'giveUp', index: number }
  | { type: 'advance', ms: number }
  | { type: 'cut', holder: string }
  | { type: 'killHolder', holder: string }
  | { type: 'killHome', index: number }
  | { type: 'silenceHome', index: number }
  | { type: 'handOver', index: number }

interface AskedSlot {
  holder: string
  ends: number
  grant?: SlotGrant
  released: boolean
  giveUp: AbortController
}

interface Run {
  rig: SlotRig
  asked: AskedSlot[]
  lostHolders: Set<string>
  failedOwners: Set<string>
}

interface SequencesWorld {
  seed: number
  includesOwnerFailures: boolean
  outcome: fc.RunDetails<[Step[]]>
}

const holder = fc.constantFrom(...HOLDERS)
const index = fc.nat(20)
const steadySteps: fc.Arbitrary<Step>[] = [
  fc.record({
    type: fc.constant('ask' as const),
    holder,
    workClass: fc.constantFrom<WorkClass>('live', 'batch'),
    account: fc.constantFrom('desk', 'guides'),
    deadlineMs: fc.constantFrom(500, 3000, DEADLINE_MS)
  }),
  fc.record({ type: fc.constant('release' as const), index, failed: fc.boolean() }),
  fc.constant<Step>({ type: 'obeyRevocations' }),
  fc.record({ type: fc.constant('giveUp' as const), index }),
  fc.record({ type: fc.constant('advance' as const), ms: fc.constantFrom(1, 60, 700) }),
  fc.record({ type: fc.constant('cut' as const), holder }),
  fc.record({ type: fc.constant('killHolder' as const), holder: fc.constant('c') })
]
const ownerSteps: fc.Arbitrary<Step> = fc
  .tuple(fc.constantFrom('killHome' as const, 'silenceHome' as const, 'handOver' as const), fc.nat(OWNERS - 1))
  .map(([type, index]) => ({ type, index }))

function sequence (includesOwnerFailures: boolean): fc.Arbitrary<Step[]> {
  const [ask, ...others] = steadySteps
  const step = fc.oneof(
    { arbitrary: ask!, weight: 8 },
    ...others.map((arbitrary) => ({ arbitrary, weight: 2 })),
    { arbitrary: ownerSteps, weight: includesOwnerFailures ? 1 : 0 }
  )
  return fc.array(step, { minLength: 10, maxLength: 40 })
}

const ACTIONS: { [Type in Step['type']]: (run: Run, step: Extract<Step, { type: Type }>) => Promise<void> } = {
  ask: async (run, step) => ask(run, step),
  release: async (run, step) => {
    const held = run.asked.filter(isHeld)
    release(held[step.index % Math.max(1, held.length)], step.failed)
  },
  obeyRevocations: async (run) => {
    for (const asked of run.asked.filter(isHeld)) {
      if (asked.grant?.revoked.aborted === true) release(asked, false)
    }
  },
  giveUp: async (run, step) => run.asked[step.index % Math.max(1, run.asked.length)]?.giveUp.abort(),
  advance: async (run, step) => await run.rig.clock.advance(step.ms),
  cut: async (run, step) => await run.rig.cut(step.holder),
  killHolder: async (run, step) => {
    run.lostHolders.add(step.holder)
    await run.rig.kill(step.holder)
  },
  killHome: async (run, step) => await failOwner(run, step.index, async (id) => await run.rig.kill(id)),
  silenceHome: async (run, step) => await failOwner(run, step.index, async (id) => await run.rig.silence(id)),
  handOver: async (run, step) => await failOwner(run, step.index, async (id) => {
    const handedOver = run.rig.owners.get(id)!.part.handOver(50)
    await run.rig.clock.advance(100)
    await handedOver
  })
}

/** Fails an owner by `fail`, unless it is the last one left. */
async function failOwner (run: Run, index: number, fail: (id: string) => Promise<void>): Promise<void> {
  const id = [...run.rig.owners.keys()][index]!
  if (run.failedOwners.has(id) || run.failedOwners.size === OWNERS - 1) return
  run.failedOwners.add(id)
  await fail(id)
}

function ask (run: Run, step: Extract<Step, { type: 'ask' }>): void {
  if (run.lostHolders.has(step.holder)) return
  const asked: AskedSlot = { holder: step.holder, ends: 0, released: false, giveUp: new AbortController() }
  run.asked.push(asked)
  const client = run.rig.holders.get(step.holder)!.part
  const { workClass, account, deadlineMs } = step
  const req = { service: RIG_SERVICE, workClass, account, weight: 1, deadlineMs, prefixHash: 0n, excluded: [] }
  client.acquire(req, { signal: asked.giveUp.signal }).match(
    (grant) => { Object.assign(asked, { grant, ends: asked.ends + 1 }) },
    () => { asked.ends += 1 }
  ).catch((cause: unknown) => { throw cause })
}

function isHeld (asked: AskedSlot): boolean {
  return asked.grant !== undefined && !asked.released
}

function release (asked: AskedSlot | undefined, failed: boolean): void {
  if (asked === undefined) return
  asked.released = true
  asked.grant?.release({ result: failed ? 'failed' : 'done' })
}

/** Counts the slots of a target that running holders believe they hold. */
function countHeld (run: Run, targetId: string): number {
  return run.asked.filter((asked) =>
    isHeld(asked) && !run.lostHolders.has(asked.holder) && asked.grant?.target.id === targetId).length
}

function checkLimits (run: Run, includesOwnerFailures: boolean): void {
  const overshoot = includesOwnerFailures ? standInRanks * Math.floor(SLOTS * partialShare) : 0
  for (let target = 0; target < TARGETS; target += 1) {
    const held = countHeld(run, `target-${target}`)
    assert.ok(held <= SLOTS + overshoot, `target-${target} runs ${held} requests, more than allowed`)
  }
}

async function runSequence (steps: readonly Step[], includesOwnerFailures: boolean): Promise<void> {
  const settings = slotSchedulerSettings.parse({ limit: 'fixed', sweepMs: 250 })
  const rig = await createSlotRig({ owners: OWNERS, targets: TARGETS, slots: SLOTS, settings })
  for (const id of HOLDERS) rig.addHolder(id)
  const run: Run = { rig, asked: [], lostHolders: new Set(), failedOwners: new Set() }
  for (const step of steps) {
    await ACTIONS[step.type](run, step as never)
    await rig.settle()
    checkLimits(run, includesOwnerFailures)
  }
  await rig.clock.advance(DEADLINE_MS)
  for (const asked of run.asked.filter(isHeld)) release(asked, false)
  await rig.clock.advance(DEADLINE_MS)
  checkEnd(run)
  await rig.close()
}

function checkEnd (run: Run): void {
  for (const asked of run.asked) {
    if (!run.lostHolders.has(asked.holder)) assert.equal(asked.ends, 1)
  }
  for (const [id, owner] of run.rig.owners) {
    if (run.failedOwners.has(id)) continue
    for (const stat of owner.part.stats()) assert.deepEqual([stat.inUse, stat.waiting, stat.waitingBatch], [0, 0, 0])
  }
}

Given('random slot sequences with seed {int} of asks, releases, revocations, broken connections and lost holders',
  function (this: SequencesWorld, seed: number) {
    Object.assign(this, { seed, includesOwnerFailures: false })
  })

Given('random slot sequences with seed {int} that also kill, silence and stop owners', function (
  this: SequencesWorld, seed: number
) {
  Object.assign(this, { seed, includesOwnerFailures: true })
})

When('{int} slot sequences have run', { timeout: STEP_TIMEOUT_MS }, async function (
  this: SequencesWorld, numRuns: number
) {
  const { seed, includesOwnerFailures } = this
  const property = fc.asyncProperty(
    sequence(includesOwnerFailures),
    async (steps) => await runSequence(steps, includesOwnerFailures)
  )
  this.outcome = await fc.check(property, { seed, numRuns })
})

Then('every ticket of the slot sequences ended once, and no slot leaked', function (this: SequencesWorld) {
  assert.ok(!this.outcome.failed, fc.defaultReportMessage(this.outcome))
})
