import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { StoredObject, WatchEvent } from '../platform'
import { createKindState, type KindChanges, type KindState } from './kindState'

const KIND = 'thing'
const SEED = 20260

interface KindStateWorld {
  property: (check: (run: Run) => void) => void
  state: KindState
  isAccepted: boolean
}

interface Run {
  state: KindState
  seen: WatchEvent[]
  store: Map<string, number>
}

function object (name: string, revision: number): StoredObject {
  return { kind: KIND, name, revision, writeId: `w${revision}`, value: revision }
}

function put (name: string, revision: number): WatchEvent {
  return { type: 'put', name, revision, object: object(name, revision) }
}

/** A history of writes; the write at index n - 1 creates revision n. */
const history = fc.array(fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), isRemoval: fc.boolean() }), { minLength: 1, maxLength: 40 })
const deliveries = fc.array(fc.record({
  how: fc.constantFrom('full', 'delta', 'offer', 'peer'),
  from: fc.double({ min: 0, max: 1, noNaN: true }),
  to: fc.double({ min: 0, max: 1, noNaN: true })
}), { maxLength: 40 })

type Writes = Array<{ name: string, isRemoval: boolean }>

function buildStore (writes: Writes, revision: number): Map<string, number> {
  const store = new Map<string, number>()
  writes.slice(0, revision).forEach(({ name, isRemoval }, index) => {
    if (isRemoval) store.delete(name)
    else store.set(name, index + 1)
  })
  return store
}

function buildSnapshot (writes: Writes, revision: number): KindChanges {
  const events = [...buildStore(writes, revision)].map(([name, at]) => put(name, at))
  return { revision, full: true, events }
}

function buildDelta (writes: Writes, from: number, to: number): KindChanges {
  const events = writes.slice(from, to).map(({ name, isRemoval }, index): WatchEvent => isRemoval
    ? { type: 'remove', name, revision: from + index + 1 }
    : put(name, from + index + 1))
  return { revision: Math.max(from, to), full: false, events }
}

function runHistory (writes: Writes, steps: Array<{ how: string, from: number, to: number }>): Run {
  const state = createKindState(KIND, { maxTombstones: 1 })
  const seen: WatchEvent[] = []
  const last = writes.length
  for (const { how, from, to } of steps) {
    const end = Math.round(to * last)
    if (how === 'full') seen.push(...state.merge(buildSnapshot(writes, end)) ?? [])
    // A delta starts at the cursor or before it.
    const start = Math.round(from * Math.max(0, state.getCursor()))
    if (how === 'delta' && state.getCursor() >= 0) seen.push(...state.merge(buildDelta(writes, start, end)) ?? [])
    if (how === 'peer') {
      const peer = createKindState(KIND, { maxTombstones: 1 })
      peer.merge(buildSnapshot(writes, Math.round(from * end)))
      peer.merge(buildDelta(writes, Math.round(from * end), end))
      if (peer.getCursor() > state.getCursor()) seen.push(...state.merge(peer.getChangesSince(state.getCursor())) ?? [])
    }
    const offered = [...buildStore(writes, end)][0]
    if (how === 'offer' && offered !== undefined) {
      const event = state.offer(object(offered[0], offered[1]))
      if (event !== undefined) seen.push(event)
    }
  }
  seen.push(...state.merge(buildSnapshot(writes, last)) ?? [])
  return { state, seen, store: buildStore(writes, last) }
}

Given('random sequences of writes, delivered by sources that are current, late or repeat themselves', function (this: KindStateWorld) {
  this.property = (check) => fc.assert(fc.property(history, deliveries, (writes, steps) => {
    check(runHistory(writes, steps))
  }), { seed: SEED, numRuns: 500 })
})

Then('the feed state never emits an older revision of an object after a newer one', function (this: KindStateWorld) {
  this.property(({ seen }) => {
    const newest = new Map<string, number>()
    for (const event of seen) {
      assert.ok(event.revision > (newest.get(event.name) ?? 0), `expected a newer revision of ${event.name}, got ${event.revision}`)
      newest.set(event.name, event.revision)
    }
  })
})

Then('the feed state equals the store after a final full read', function (this: KindStateWorld) {
  this.property(({ state, store }) => {
    const held = new Map([...state.objects.values()].map(({ name, revision }) => [name, revision]))
    assert.deepEqual(new Map([...held].sort()), new Map([...store].sort()))
  })
})

Given('a feed state that knows object {string} at revision {int}', function (this: KindStateWorld, name: string, revision: number) {
  this.state = createKindState(KIND)
  this.state.merge({ revision, full: true, events: [put(name, revision)] })
})

When('a full read as of revision {int} without object {string} arrives', function (this: KindStateWorld, revision: number, _name: string) {
  this.isAccepted = this.state.merge({ revision, full: true, events: [] }) !== undefined
})

When('the removal of object {string} at revision {int} arrives', function (this: KindStateWorld, name: string, revision: number) {
  this.state.merge({ revision, full: false, events: [{ type: 'remove', name, revision }] })
})

When('object {string} at revision {int} is offered again', function (this: KindStateWorld, name: string, revision: number) {
  this.state.offer(object(name, revision))
})

Then('the feed state rejects it and keeps object {string}', function (this: KindStateWorld, name: string) {
  assert.equal(this.isAccepted, false)
  assert.ok(this.state.objects.has(name))
})

Then('the feed state does not contain object {string}', function (this: KindStateWorld, name: string) {
  assert.equal(this.state.objects.has(name), false)
})
