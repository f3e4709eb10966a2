import assert from 'node:assert/strict'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Given, Then, When } from '@cucumber/cucumber'
import { createOwnedJob, type OwnedJob } from './ownedJob'

interface OwnedJobWorld {
  owned: OwnedJob
  keptBytes: number
}

const WAITS_AT_ONCE = 10_000
const MB = 1_000_000

function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
  return process.memoryUsage().heapUsed
}

Given('a job at its owner', function (this: OwnedJobWorld) {
  const record = {
    route: 'batch',
    host: 'h',
    owner: 'instance-1',
    epoch: 1,
    submittedAt: 0,
    total: 1,
    inputParts: 1,
    tokens: 1,
    ended: false,
    finished: false
  }
  this.owned = createOwnedJob({
    id: 'job',
    stored: { record, revision: 1, asOf: 0 },
    items: [{ id: 'item', path: '/x', headers: [], body: '', tokens: 1 }],
    getTimes: () => ({ dueAt: Infinity, expiresAt: Infinity }),
    now: () => 0
  })
})

When('{int} reads of its results wait for {int} ms, one after the other in time for the next', async function (
  this: OwnedJobWorld, count: number, ms: number
) {
  const before = measureHeap()
  for (let done = 0; done < count; done += WAITS_AT_ONCE) {
    await Promise.all(Array.from({ length: WAITS_AT_ONCE }, async () => await this.owned.waitForChange(ms)))
  }
  this.keptBytes = measureHeap() - before
})

Then('less than {int} MB of memory are kept for them', function (this: OwnedJobWorld, mb: number) {
  assert.ok(this.keptBytes < mb * MB, `${this.keptBytes} bytes`)
})
