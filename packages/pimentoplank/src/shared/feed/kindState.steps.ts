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
  isTaken: boolean
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

/** A history of writes; revision n is made by the write at index n - 1. */
const history = fc.array(fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), isRemoval: fc.boolean() }), { minLength: 1, maxLength: 40 })
const deliveries = fc.array(fc.record({
  how: fc.constantFrom('full', 'delta', 'offer', 'peer'),
  from: fc.double({ min: 0, max: 1, noNaN: true }),
  to: fc.double({ min: 0, max: 1, noNaN: true })
}), { maxLength: 40 })

type Writes = Array<{ name: string, isRemoval: boolean }>

function storeAsOf (writes: Writes, revision: number): Map<string, number> {
  const store = new Map<string, number>()
  writes.slice(0, revision).forEach(({ name, isRemoval }, index) => {
    if (isRemoval) store.delete(name)
    else store.set(name, index + 1)
  })
  return store
}

function fullAsOf (writes: Writes, revision: number): KindChanges {
  const events = [...storeAsOf(writes, revision)].map(([name, at]) => put(name, at))
  return { revision, full: true, events }
}

function deltaBetween (writes: Writes, from: number, to: number): KindChanges {
  const events = writes.slice(from, to).map(({ name, isRemoval }, index): WatchEvent => isRemoval
    ? { type: 'remove', name, revision: from + index + 1 }
    : put(name, from + index + 1))
  return { revision: Math.max(from, to), full: false, events }
}

function checkHistory (writes: Writes, steps: Array<{ how: string, from: number, to: number }>): Run {
  const state = createKindState(KIND, { maxTombstones: 1 })
  const seen: WatchEvent[] = []
  const last = writes.length
  for (const { how, from, to } of steps) {
    const end = Math.round(to * last)
    if (how === 'full') seen.push(...state.merge(fullAsOf(writes, end)) ?? [])
    // A source that continues from the cursor, or from before it.
    const start = Math.round(from * Math.max(0, state.cursor()))
    if (how === 'delta' && state.cursor() >= 0) seen.push(...state.merge(deltaBetween(writes, start, end)) ?? [])
    if (how === 'peer') {
      const peer = createKindState(KIND, { maxTombstones: 1 })
      peer.merge(fullAsOf(writes, Math.round(from * end)))
      peer.merge(deltaBetween(writes, Math.round(from * end), end))
      if (peer.cursor() > state.cursor()) seen.push(...state.merge(peer.changesSince(state.cursor())) ?? [])
    }
    const offered = [...storeAsOf(writes, end)][0]
    if (how === 'offer' && offered !== undefined) {
      const event = state.offer(object(offered[0], offered[1]))
      if (event !== undefined) seen.push(event)
    }
  }
  seen.push(...state.merge(fullAsOf(writes, last)) ?? [])
  return { state, seen, store: storeAsOf(writes, last) }
}

Given('random sequences of writes, delivered by honest, late and repeated sources', function (this: KindStateWorld) {
  this.property = (check) => fc.assert(fc.property(history, deliveries, (writes, steps) => {
    check(checkHistory(writes, steps))
  }), { seed: SEED, numRuns: 500 })
})

Then('the feed state never shows an older revision of an object after a newer one', function (this: KindStateWorld) {
  this.property(({ seen }) => {
    const newest = new Map<string, number>()
    for (const event of seen) {
      assert.ok(event.revision > (newest.get(event.name) ?? 0), `${event.name} went to ${event.revision}`)
      newest.set(event.name, event.revision)
    }
  })
})

Then('the feed state equals the store after a last read of it', function (this: KindStateWorld) {
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
  this.isTaken = this.state.merge({ revision, full: true, events: [] }) !== undefined
})

When('the removal of object {string} at revision {int} arrives', function (this: KindStateWorld, name: string, revision: number) {
  this.state.merge({ revision, full: false, events: [{ type: 'remove', name, revision }] })
})

When('object {string} at revision {int} is offered again', function (this: KindStateWorld, name: string, revision: number) {
  this.state.offer(object(name, revision))
})

Then('the feed state refuses it and keeps object {string}', function (this: KindStateWorld, name: string) {
  assert.equal(this.isTaken, false)
  assert.ok(this.state.objects.has(name))
})

Then('the feed state shows no object {string}', function (this: KindStateWorld, name: string) {
  assert.equal(this.state.objects.has(name), false)
})
