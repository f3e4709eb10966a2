/** Blocks calls to the platform stand-in at an exact step, so that a test can inject a fault there. */
import { v4 as uuid } from 'uuid'
import * as z from 'zod'

export const gateSpec = z.strictObject({
  kind: z.string(),
  operation: z.enum(['get', 'list', 'put', 'remove', 'watch', 'transfer']),
  /** Before the call takes effect, or after it did and before its response. */
  when: z.enum(['before', 'after']),
  /** Instance whose calls are blocked; any when absent. */
  instance: z.string().optional(),
  /** Text that the object's name must contain. */
  name: z.string().optional(),
  /** Number of matching calls that pass before one is blocked. */
  skip: z.int().min(0).default(0)
})
export type GateSpec = z.infer<typeof gateSpec>

/** What happens to blocked calls on release: `go` continues them, `drop` closes their connection without a response. */
export type GateRelease = 'go' | 'drop'

export interface GatedCall {
  kind: string
  operation: string
  name: string
  instance: string
}

export interface Gates {
  add: (spec: GateSpec) => string
  /**
   * Blocks a call at every gate that matches, until the gate is released.
   *
   * @returns `drop` as soon as one of the gates was released with it
   */
  waitForRelease: (call: GatedCall, when: GateSpec['when']) => Promise<GateRelease>
  /** Resolves with the calls that a gate blocks, as soon as there is at least one. */
  waitForCalls: (id: string) => Promise<GatedCall[]>
  /** Releases the calls that a gate blocks and removes the gate. */
  release: (id: string, action: GateRelease) => void
}

interface Gate {
  spec: GateSpec
  skipped: number
  blockedCalls: GatedCall[]
  reached: Promise<void>
  markReached: () => void
  released: Promise<GateRelease>
  markReleased: (action: GateRelease) => void
}

/** Creates an empty set of gates. */
export function createGates (): Gates {
  const gates = new Map<string, Gate>()

  async function blockAtGates (call: GatedCall, when: GateSpec['when']): Promise<GateRelease> {
    for (const gate of gates.values()) {
      if (!matches(gate.spec, call, when)) continue
      if (gate.skipped < gate.spec.skip) {
        gate.skipped++
        continue
      }
      gate.blockedCalls.push(call)
      gate.markReached()
      if (await gate.released === 'drop') return 'drop'
    }
    return 'go'
  }

  return {
    waitForRelease: blockAtGates,
    add: (spec) => {
      const id = uuid()
      gates.set(id, createGate(spec))
      return id
    },
    waitForCalls: async (id) => {
      const gate = gates.get(id)
      await gate?.reached
      return gate?.blockedCalls ?? []
    },
    release: (id, action) => {
      gates.get(id)?.markReleased(action)
      gates.delete(id)
    }
  }
}

function createGate (spec: GateSpec): Gate {
  const reached = createDeferred<void>()
  const released = createDeferred<GateRelease>()
  return {
    spec,
    skipped: 0,
    blockedCalls: [],
    reached: reached.promise,
    markReached: reached.resolve,
    released: released.promise,
    markReleased: released.resolve
  }
}

function createDeferred<Value> (): { promise: Promise<Value>, resolve: (value: Value) => void } {
  let resolve: (value: Value) => void
  const promise = new Promise<Value>((_resolve) => { resolve = _resolve })
  return { promise, resolve: (value) => resolve(value) }
}

function matches (spec: GateSpec, call: GatedCall, when: GateSpec['when']): boolean {
  return spec.when === when &&
    spec.kind === call.kind &&
    spec.operation === call.operation &&
    (spec.instance === undefined || spec.instance === call.instance) &&
    (spec.name === undefined || call.name.includes(spec.name))
}
