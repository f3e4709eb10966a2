import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { errAsync, okAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../../features/support/manualClock'
import { createSilentLog, PlatformConflict, SECOND_MS, type StoredObject } from '../../shared'
import { createCrashingPartsStore, type CrashingPartsStore, type CrashingPartsStoreOptions } from './crashingPartsStore'
import type { CrashingParts } from '../gossip'

interface StoreWorld {
  partsClock: ManualClock
  partsStore: CrashingPartsStore
  writes: number
  loaded: CrashingParts[]
}

const PART = 0xabcn

/** Creates a platform that holds objects in memory and checks their revisions. */
function createInMemoryPlatform (onWrite: () => void): CrashingPartsStoreOptions['platform'] {
  const objects = new Map<string, StoredObject>()
  let revision = 0
  return {
    put: (kind, name, value, { ifRevision }) => {
      const current = objects.get(name) ?? null
      if ((current?.revision ?? 0) !== ifRevision) return errAsync(new PlatformConflict(current, false))
      revision += 1
      const stored = { kind, name, value, revision, writeId: String(revision) }
      objects.set(name, stored)
      onWrite()
      return okAsync(stored)
    },
    listAll: () => okAsync({ revision, items: [...objects.values()] }),
    remove: (_kind, name) => {
      objects.delete(name)
      return okAsync(undefined)
    }
  }
}

Given('a store of crashing parts that keeps records for {int} s', function (this: StoreWorld, keepS: number) {
  this.partsClock = createManualClock()
  this.writes = 0
  this.partsStore = createCrashingPartsStore({
    platform: createInMemoryPlatform(() => { this.writes += 1 }),
    keepMs: keepS * SECOND_MS,
    clock: this.partsClock,
    log: createSilentLog()
  })
})

When('a part is saved, and again {int} s later', async function (this: StoreWorld, laterS: number) {
  await this.partsStore.save({ parts: [PART], at: this.partsClock.now() })
  await this.partsClock.advance(laterS * SECOND_MS)
  await this.partsStore.save({ parts: [PART], at: this.partsClock.now() })
})

When('an instance starts {int} s later', async function (this: StoreWorld, laterS: number) {
  await this.partsClock.advance(laterS * SECOND_MS)
  this.loaded = await this.partsStore.load(new AbortController().signal)
})

Then('it loads the part as found {int} s ago', function (this: StoreWorld, ageS: number) {
  assert.deepEqual(this.loaded, [{ parts: [PART], at: this.partsClock.now() - ageS * SECOND_MS }])
})

Then('the platform has taken {int} write of it', function (this: StoreWorld, count: number) {
  assert.equal(this.writes, count)
})
