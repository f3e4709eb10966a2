import assert from 'node:assert/strict'
import { createPlatformStandin, type PlatformStandin } from '@pimentoplank/standins'
import { After, Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { ResultAsync, type Result } from 'neverthrow'
import {
  applyNote, BaseConflict, createReleaseLog, createSnapshot, listEntries, NoteError, releaseNote, toSnapshotPartName,
  splitSnapshot, type ApplyError, type ConfigSnapshot, type ReleaseLog, type ReleaseNote
} from '.'
import { createMemoryPlatform, type MemoryPlatform } from '../../../features/support/memoryPlatform'
import { createSystemClock } from '../clock'
import { createSilentLog } from '../logging'
import { createInMemoryMetrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { createPlatformClient, type PlatformClient } from '../platform'

const SEED = 1303
const HASH = 'a'.repeat(64)

interface ReleaseLogWorld {
  noteStore: PlatformStandin
  noteClient: PlatformClient
  memory: MemoryPlatform
  results: Array<Result<number, ApplyError>>
  /** Resolves to the sequence number that the paused operator produced, or to the error. */
  paused: Promise<number | ApplyError>
  resume: () => void
  histories: Array<{ accepted: ReleaseNote[], read: ConfigSnapshot }>
}

function openLog (platform: PlatformClient): ReleaseLog {
  return createReleaseLog({
    platform, clock: createSystemClock(), metrics: createInMemoryMetrics(), log: createSilentLog()
  })
}

function service (name: string): object {
  return { kind: 'service', name, type: 'engine' }
}

Given('a release log with service {string}, model {string} of it and account {string}',
  async function (this: ReleaseLogWorld, serviceName: string, model: string, account: string) {
    this.noteStore = createPlatformStandin()
    this.noteClient = createPlatformClient({ url: (await this.noteStore.start()).url })
    const added = [
      service(serviceName),
      { kind: 'model', name: model, service: serviceName, version: '1' },
      { kind: 'account', name: account, keyHash: HASH }
    ]
    const applied = await openLog(this.noteClient).apply(releaseNote.parse({ base: 0, added }))
    assert.equal(applied._unsafeUnwrap(), 1)
  })

When('an operator applies a note with five issues', async function (this: ReleaseLogWorld) {
  const note = releaseNote.parse({
    base: 1,
    added: [
      service('desk-lm'),
      { kind: 'model', name: 'other', service: 'no-such-service', version: '1' },
      { kind: 'account', name: 'other', keyHash: HASH }
    ],
    changed: [service('unknown')],
    withdrawn: [{ kind: 'account', name: 'unknown' }]
  })
  this.results = [await openLog(this.noteClient).apply(note)]
})

Then('the note is rejected with issues at exactly {string}', function (this: ReleaseLogWorld, paths: string) {
  const error = this.results[0]!._unsafeUnwrapErr()
  assert.ok(error instanceof NoteError)
  assert.deepEqual(error.issues.map(({ path }) => path).sort(), paths.split(' ').sort())
})

When('the platform loses the responses of the next {int} writes', function (this: ReleaseLogWorld, count: number) {
  this.noteStore.setFaults({ loseAnswers: count })
})

When('{int} operators apply notes on base {int} at the same time',
  async function (this: ReleaseLogWorld, count: number, base: number) {
    const notes = Array.from({ length: count }, (_, index) => releaseNote.parse({
      base, author: `operator-${index}`, added: [service(`service-${index}`)]
    }))
    this.results = await Promise.all(notes.map(async (note) => await openLog(this.noteClient).apply(note)))
  })

Then('exactly one operator\'s note is applied', function (this: ReleaseLogWorld) {
  assert.equal(this.results.filter((result) => result.isOk()).length, 1)
})

Then('no operator\'s note is applied', function (this: ReleaseLogWorld) {
  assert.equal(this.results.filter((result) => result.isOk()).length, 0)
})

Then('the release log is at {int} and holds {int} note', async function (this: ReleaseLogWorld, at: number, notes: number) {
  const state = (await openLog(this.noteClient).read())._unsafeUnwrap()
  assert.deepEqual([state.current.sequence, state.notes.size], [at, notes])
})

Given('a release log whose next write is applied but gets no response', function (this: ReleaseLogWorld) {
  this.memory = createMemoryPlatform()
  let left = 1
  this.memory.faultOf = (call) => call.operation === 'put' && left-- > 0 ? 'loseAnswer' : undefined
})

When('an operator applies a first note there', async function (this: ReleaseLogWorld) {
  this.results = [await openLog(this.memory.client('operator')).apply(releaseNote.parse({ base: 0, added: [service('a')] }))]
})

Then('the operator is told that the configuration is at {int}', function (this: ReleaseLogWorld, sequence: number) {
  assert.equal(this.results[0]!._unsafeUnwrap(), sequence)
})

Then('the log holds that note once', function (this: ReleaseLogWorld) {
  assert.equal(this.memory.objects(OBJECT_KINDS.releaseNote).length, 1)
})

Then('every other operator gets a conflict with the applied change', function (this: ReleaseLogWorld) {
  const winner = this.results.findIndex((result) => result.isOk())
  for (const result of this.results.filter((other) => other.isErr())) {
    const error = result._unsafeUnwrapErr()
    assert.ok(error instanceof BaseConflict)
    assert.deepEqual(error.differences.others, [`service/service-${winner}`])
    assert.deepEqual(error.differences.notes.map(({ note }) => note.author), [`operator-${winner}`])
  }
})

Then('the release log is at {int}', async function (this: ReleaseLogWorld, sequence: number) {
  const state = await openLog(this.noteClient).read()
  assert.equal(state._unsafeUnwrap().current.sequence, sequence)
})

Given('an operator who has read the log at {int} and pauses before the write',
  async function (this: ReleaseLogWorld, base: number) {
    const gate = new Promise<void>((resolve) => { this.resume = resolve })
    const isReading = new Promise<void>((resolve) => {
      const slow: PlatformClient = {
        ...this.noteClient,
        put: (...args) => {
          resolve()
          return ResultAsync.fromSafePromise(gate).andThen(() => this.noteClient.put(...args))
        }
      }
      this.paused = openLog(slow).apply(releaseNote.parse({ base, added: [service('late')] }))
        .match<number | ApplyError>((sequence) => sequence, (error) => error)
    })
    await isReading
  })

When('the log moves on to {int} and its notes are replaced by a snapshot',
  async function (this: ReleaseLogWorld, sequence: number) {
    const log = openLog(this.noteClient)
    for (let base = 1; base < sequence; base++) {
      await log.apply(releaseNote.parse({ base, added: [service(`service-${base}`)] }))
    }
    const { current, notes } = (await log.read())._unsafeUnwrap()
    for (const part of splitSnapshot(sequence, listEntries(current))) {
      const name = toSnapshotPartName(sequence, part.part)
      await this.noteClient.put(OBJECT_KINDS.configSnapshot, name, part, { ifRevision: 0 })
    }
    for (const name of notes.keys()) await this.noteClient.remove(OBJECT_KINDS.releaseNote, name)
  })

When('the paused operator writes', async function (this: ReleaseLogWorld) {
  this.resume()
  await this.paused
})

Then('the paused operator gets a conflict: the configuration is at {int}',
  async function (this: ReleaseLogWorld, sequence: number) {
    const error: unknown = await this.paused
    assert.ok(error instanceof BaseConflict, `expected a base conflict, got ${String(error)}`)
    assert.equal(error.differences.sequence, sequence)
    assert.deepEqual(this.noteStore.readAll(OBJECT_KINDS.releaseNote), [])
  })

const names = fc.constantFrom('a', 'b', 'c')
const randomNote = fc.record({
  lag: fc.integer({ min: 0, max: 2 }),
  added: fc.uniqueArray(names, { maxLength: 2 }),
  withdrawn: fc.uniqueArray(names, { maxLength: 2 }),
  isSnapshotTaken: fc.boolean()
})

/** Applies notes by operators with outdated views; creates snapshots and trims the log in between. */
async function playHistory (
  steps: Array<{ lag: number, added: string[], withdrawn: string[], isSnapshotTaken: boolean }>
): Promise<{ accepted: ReleaseNote[], read: ConfigSnapshot }> {
  const platform = createMemoryPlatform().client('operator')
  const log = openLog(platform)
  const accepted: ReleaseNote[] = []
  for (const { lag, added, withdrawn, isSnapshotTaken } of steps) {
    const base = Math.max(0, accepted.length - lag)
    const note = releaseNote.parse({
      base, added: added.map(service), withdrawn: withdrawn.map((name) => ({ kind: 'service', name }))
    })
    const applied = await log.apply(note)
    if (applied.isOk()) accepted.push(note)
    if (!isSnapshotTaken || accepted.length === 0) continue
    const { current, notes } = (await log.read())._unsafeUnwrap()
    for (const part of splitSnapshot(current.sequence, listEntries(current))) {
      const name = toSnapshotPartName(current.sequence, part.part)
      await platform.put(OBJECT_KINDS.configSnapshot, name, part, { ifRevision: 0 })
    }
    for (const name of notes.keys()) await platform.remove(OBJECT_KINDS.releaseNote, name)
  }
  return { accepted, read: (await log.read())._unsafeUnwrap().current }
}

Given('random notes, applied by operators who read at random moments', { timeout: 20_000 },
  async function (this: ReleaseLogWorld) {
    this.histories = []
    await fc.assert(fc.asyncProperty(fc.array(randomNote, { maxLength: 12 }), async (steps) => {
      this.histories.push(await playHistory(steps))
    }), { seed: SEED, numRuns: 200 })
  })

Then('every reader of the release log ends with the same entries as its accepted notes in order',
  function (this: ReleaseLogWorld) {
    assert.ok(this.histories.some(({ accepted }) => accepted.length > 4), 'histories are too short')
    for (const { accepted, read } of this.histories) {
      const expected = accepted.reduce((at, note) => applyNote(at, note)._unsafeUnwrap(), createSnapshot(0, []))
      assert.equal(read.sequence, accepted.length)
      assert.deepEqual([...read.services.keys()].sort(), [...expected.services.keys()].sort())
    }
  })

After(async function (this: ReleaseLogWorld) {
  await this.noteClient?.close()
  await this.noteStore?.close()
})
