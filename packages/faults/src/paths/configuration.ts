/** The configuration path: a release note is written, spreads, and reaches instances that start meanwhile. */
import assert from 'node:assert/strict'
import { runCli, type CliOutcome } from '../cli'
import type { Gate, GateOptions } from '../control'
import { BOUND_MS, type FaultBed } from '../deploy'
import { until } from '../until'
import { reachFrom, type Moment, type PathRun } from './types'

/** Time in which a change must be in force everywhere, in milliseconds. */
const IN_FORCE_LIMIT_MS = 6000
const RACING_OPERATORS = 4
const CLI_FAILED = 1

interface FleetView {
  instances: Array<{ id: string, configSequence?: number, failure?: string }>
}

/** Creates a run of the path. */
export function createConfigurationPath (bed: FaultBed): PathRun {
  const carrier = 'entry-1'
  let applied: Array<Promise<CliOutcome>> = []
  let highest = new Map<string, number>()

  function apply (name: string): void {
    applied.push(runCli(bed, ['apply'], noteThatAdds(name)))
  }

  /** Holds the write of the note. */
  async function reachWrite (when: GateOptions['when']): Promise<Moment> {
    const gate = await bed.platform.gate({ kind: 'releasenote', operation: 'put', when })
    apply('late')
    await gate.held()
    return { carrier, gate }
  }

  /** The note is written; it is still unknown to the instances that follow. */
  async function reachSpreading (): Promise<Moment> {
    apply('late')
    const [outcome] = await Promise.all(applied)
    assert.equal(outcome!.code, 0, outcome!.stderr)
    return { carrier }
  }

  /** Several operators write against the same base. */
  async function reachRace (): Promise<Moment> {
    const gates: Gate[] = [await bed.platform.gate({ kind: 'releasenote', operation: 'put', when: 'before' })]
    for (let index = 0; index < RACING_OPERATORS; index++) apply(`racer-${index}`)
    await gates[0]!.held()
    return { carrier, gate: gates[0] }
  }

  const steps = {
    'note not written': async () => await reachWrite('before'),
    'note written': async () => await reachWrite('after'),
    spreading: reachSpreading,
    'operators race': reachRace
  }

  async function sequences (): Promise<Map<string, number>> {
    const { stdout } = await runCli(bed, ['status', '--json'])
    const view = JSON.parse(stdout) as FleetView
    const seen = new Map<string, number>()
    for (const { id, configSequence } of view.instances) {
      if (configSequence !== undefined) seen.set(id, configSequence)
    }
    return seen
  }

  /** Notes the sequence of each instance; one that went back is a broken guarantee. */
  async function lookForReverts (): Promise<Map<string, number>> {
    const seen = await sequences()
    for (const [id, sequence] of seen) {
      const before = highest.get(id) ?? 0
      assert.ok(sequence >= before, `${id} went back from ${before} to ${sequence}`)
    }
    highest = seen
    return seen
  }

  async function finish (): Promise<void> {
    await Promise.all(applied)
    await applyAgainIfRefused()
    const startedAt = performance.now()
    await until('the change to be in force everywhere', async () => {
      const seen = await lookForReverts()
      return [...seen.values()].every((sequence) => sequence === 2) || undefined
    }, BOUND_MS)
    const tookMs = performance.now() - startedAt
    assert.ok(tookMs <= IN_FORCE_LIMIT_MS, `in force everywhere after ${tookMs} ms`)
  }

  /** An operator whose command failed for an outage tries again; one that lost to another note does not. */
  async function applyAgainIfRefused (): Promise<void> {
    const outcomes = await Promise.all(applied)
    if (outcomes.some(({ code }) => code === 0)) return
    await until('the note to be applied', async () => {
      const outcome = await runCli(bed, ['apply'], noteThatAdds('late'))
      applied = [...applied, Promise.resolve(outcome)]
      const isThere = outcome.code === 0 || outcome.stderr.includes('account/late')
      return isThere || undefined
    }, BOUND_MS)
  }

  async function check (): Promise<void> {
    const notes = await bed.platform.objects('releasenote')
    assert.equal(notes.length, 2, 'exactly one note was applied after the first')
    const outcomes = await Promise.all(applied)
    assert.ok(outcomes.filter(({ code }) => code === 0).length <= 1, 'two notes on one base were reported as applied')
    const losers = outcomes.filter(({ code, stderr }) => code === CLI_FAILED && stderr.includes('Applied since'))
    for (const { stderr } of losers) assert.match(stderr, /\+ account\//, 'a loser sees what was applied first')
    await lookForReverts()
  }

  return { reach: async (step) => await reachFrom(steps, step), finish, check }
}

function noteThatAdds (name: string): object {
  const keyHash = Buffer.from(name.padEnd(32, '.')).toString('hex')
  return { base: 1, message: name, added: [{ kind: 'account', name, keyHash }] }
}
