import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock } from '../../../features/support/manualClock'
import { createMemoryPlatform } from '../../../features/support/memoryPlatform'
import { PlatformConflict } from '../../shared'
import { createJobStore, type JobStore, type StoredJob } from './jobStore'

interface StoreWorld {
  jobStore: JobStore
  storedJob: StoredJob
}

const JOB = 'job'

Given('a stored job', async function (this: StoreWorld) {
  const platform = createMemoryPlatform()
  this.jobStore = createJobStore(platform.client('first'), createManualClock())
  const record = {
    route: 'batch',
    host: 'h',
    owner: 'first',
    epoch: 1,
    submittedAt: 0,
    total: 1,
    inputParts: 1,
    tokens: 1,
    ended: false,
    finished: false
  }
  const items = [{ id: 'item', path: '/x', headers: [], body: '', tokens: 1 }]
  this.storedJob = (await this.jobStore.create(JOB, record, items))._unsafeUnwrap()
})

When('another instance updates its record', async function (this: StoreWorld) {
  const { record, revision } = this.storedJob
  const updated = await this.jobStore.update(JOB, { ...record, owner: 'second', epoch: 2 }, revision)
  assert.ok(updated.isOk())
})

When('the job is withdrawn by the instance that stored it', async function (this: StoreWorld) {
  const withdrawn = await this.jobStore.withdraw(JOB, this.storedJob.revision)
  assert.ok(withdrawn.isErr() && withdrawn.error instanceof PlatformConflict)
})

Then('its record is that of the other instance', async function (this: StoreWorld) {
  const found = await this.jobStore.read(JOB)
  assert.equal(found._unsafeUnwrap()?.record.owner, 'second')
})
