/** The configuration path: a release note is written and propagates, also to instances that start meanwhile. */
import assert from 'node:assert/strict'
import { runCli, type CliOutcome } from '../cli'
import type { Gate, GateOptions } from '../control'
import { MAX_WAIT_MS, type FaultTestbed } from '../deploy'
import { waitFor } from '../waitFor'
import { reachStep, type HeldStep, type PathRun } from './types'

/** Time within which every instance must apply a change, in milliseconds. */
const APPLY_LIMIT_MS = 6000
const RACING_OPERATORS = 4
const CLI_FAILED = 1

interface FleetView {
  instances: Array<{ id: string, configSequence?: number, failure?: string }>
}

/** Creates a run of the path. */
export function createConfigurationPath (testbed: FaultTestbed): PathRun {
  const carrier = 'entry-1'
  let applied: Array<Promise<CliOutcome>> = []
  let highest = new Map<string, number>()

  function apply (name: string): void {
    applied.push(runCli(testbed, ['apply'], createNote(name)))
  }

  /** Holds the platform write of the release note. */
  async function reachWrite (when: GateOptions['when']): Promise<HeldStep> {
    const gate = await testbed.platform.gate({ kind: 'releasenote', operation: 'put', when })
    apply('late')
    await gate.waitForCall()
    return { carrier, gate }
  }

  /** Waits until the release note is written; it has not yet propagated to the instances. */
  async function reachSpreading (): Promise<HeldStep> {
    apply('late')
    const [outcome] = await Promise.all(applied)
    assert.equal(outcome!.code, 0, outcome!.stderr)
    return { carrier }
  }

  /** Starts several operators that write against the same base, and holds one write. */
  async function reachRace (): Promise<HeldStep> {
    const gates: Gate[] = [await testbed.platform.gate({ kind: 'releasenote', operation: 'put', when: 'before' })]
    for (let index = 0; index < RACING_OPERATORS; index++) apply(`racer-${index}`)
    await gates[0]!.waitForCall()
    return { carrier, gate: gates[0] }
  }

  const steps = {
    'note not written': async () => await reachWrite('before'),
    'note written': async () => await reachWrite('after'),
    spreading: reachSpreading,
    'operators race': reachRace
  }

  async function readSequences (): Promise<Map<string, number>> {
    const { stdout } = await runCli(testbed, ['status', '--json'])
    const view = JSON.parse(stdout) as FleetView
    const seen = new Map<string, number>()
    for (const { id, configSequence } of view.instances) {
      if (configSequence !== undefined) seen.set(id, configSequence)
    }
    return seen
  }

  /** Records the sequence number of each instance; throws when one has decreased. */
  async function assertNoReverts (): Promise<Map<string, number>> {
    const seen = await readSequences()
    for (const [id, sequence] of seen) {
      const before = highest.get(id) ?? 0
      assert.ok(sequence >= before, `${id} reverted from sequence ${before} to ${sequence}`)
    }
    highest = seen
    return seen
  }

  async function finish (): Promise<void> {
    await Promise.all(applied)
    await reapplyAfterOutage()
    const startedAt = performance.now()
    await waitFor('every instance to apply the change', async () => {
      const seen = await assertNoReverts()
      return [...seen.values()].every((sequence) => sequence === 2) || undefined
    }, MAX_WAIT_MS)
    const tookMs = performance.now() - startedAt
    assert.ok(tookMs <= APPLY_LIMIT_MS, `every instance applied the change only after ${tookMs} ms`)
  }

  /** Repeats a command that failed because of an outage; one that lost to a concurrent note is not repeated. */
  async function reapplyAfterOutage (): Promise<void> {
    const outcomes = await Promise.all(applied)
    if (outcomes.some(({ code }) => code === 0)) return
    await waitFor('the note to be applied', async () => {
      const outcome = await runCli(testbed, ['apply'], createNote('late'))
      applied = [...applied, Promise.resolve(outcome)]
      const isThere = outcome.code === 0 || outcome.stderr.includes('account/late')
      return isThere || undefined
    }, MAX_WAIT_MS)
  }

  async function check (): Promise<void> {
    const notes = await testbed.platform.listObjects('releasenote')
    assert.equal(notes.length, 2, 'expected exactly one release note after the first')
    const outcomes = await Promise.all(applied)
    assert.ok(outcomes.filter(({ code }) => code === 0).length <= 1, 'two notes on one base were reported as applied')
    const losers = outcomes.filter(({ code, stderr }) => code === CLI_FAILED && stderr.includes('Applied since'))
    for (const { stderr } of losers) assert.match(stderr, /\+ account\//, 'the refusal omits the changes applied first')
    await assertNoReverts()
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

function createNote (name: string): object {
  const keyHash = Buffer.from(name.padEnd(32, '.')).toString('hex')
  return { base: 1, message: name, added: [{ kind: 'account', name, keyHash }] }
}
