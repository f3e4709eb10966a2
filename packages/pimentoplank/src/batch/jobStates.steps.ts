import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { okAsync, ResultAsync } from 'neverthrow'
import { createManualClock, type ManualClock } from '../../features/support/manualClock'
import { createSilentLog, type ObjectFeed, type PlatformClient } from '../shared'
import { createJobStates, type JobRef, type JobStates } from './jobStates'

interface StatesWorld {
  clock: ManualClock
  jobStates: JobStates
  state: string
  reads: number
  /** Store revision that reads show. */
  revision: number
  answerMs: number
}

const JOB: JobRef = { name: 'job', uploadId: 'upload', since: 1 }

Given('a runner that has read a running job', async function (this: StatesWorld) {
  this.clock = createManualClock()
  this.state = 'running'
  this.reads = 0
  this.revision = JOB.since
  this.answerMs = 0
  const platform: Partial<PlatformClient> = {
    list: () => {
      this.reads += 1
      const value = {
        account: 'a',
        key: 'k',
        uploadId: JOB.uploadId,
        contentHash: 'h',
        items: 1,
        chunks: 1,
        models: [],
        state: this.state,
        createdAt: 0
      }
      const { revision } = this
      const page = { revision, items: [{ kind: 'jobs', name: JOB.name, revision, writeId: 'w', value }] }
      if (this.answerMs === 0) return okAsync(page)
      return ResultAsync.fromSafePromise(this.clock.sleep(this.answerMs).then(() => page))
    }
  }
  const feed = { offer: () => undefined } as unknown as ObjectFeed
  this.jobStates = createJobStates({
    platform: platform as PlatformClient, feed, clock: this.clock, log: createSilentLog(), maxAgeMs: 4500
  })
  assert.equal(await this.jobStates.read(JOB), 'running')
})

When('{int} s pass(es) for the runner', async function (this: StatesWorld, seconds: number) {
  await this.clock.advance(seconds * 1000)
})

When('the machine of the runner is suspended for {int} s, and the job is cancelled meanwhile', function (
  this: StatesWorld, seconds: number
) {
  this.clock.shiftWallTime(seconds * 1000)
  this.state = 'cancelled'
})

Then('the runner takes the job as {word}, after {int} read(s)', async function (this: StatesWorld, state: string, reads: number) {
  const confirmed = this.jobStates.confirm(JOB)
  await this.clock.advance(this.answerMs)
  assert.deepEqual([await confirmed, this.reads], [state, reads])
})

When('the platform shows the job at an earlier revision', function (this: StatesWorld) {
  this.revision = JOB.since - 1
})

When('the platform takes {int} s to answer', function (this: StatesWorld, seconds: number) {
  this.answerMs = seconds * 1000
})
