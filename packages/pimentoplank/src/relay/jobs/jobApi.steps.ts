import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import type { RefusalError } from '../../shared'
import { JOB_KINDS } from '.'
import { beginSubmission, createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'

interface JobApiWorld {
  jobBench: JobBench
  items: number
  submitting: Promise<Result<void, RefusalError>>
  peerBench: JobBench
}

const JOB = 'job'
const OWNER = 'instance-1'
/** Time after which a takeover has begun and isn't done, in milliseconds. */
const TAKEOVER_MS = 15
/** Time in which an instance that is back reads the records of its jobs, in milliseconds. */
const RECOVERY_MS = 1000
const TELL_MS = 100

function restart (world: JobApiWorld): void {
  world.jobBench = createJobBench({ id: OWNER, shared: world.jobBench })
}

Given('an instance that has stored the results of {int} of the {int} items of a job', async function (
  this: JobApiWorld, stored: number, count: number
) {
  this.jobBench = createJobBench({ id: OWNER })
  this.items = count
  assert.ok((await submitJob(this.jobBench, JOB, count)).isOk())
  const job = this.jobBench.registry.get(JOB)!
  const items = [...job.openItems().keys()].slice(0, stored)
  for (const item of items) job.finishItem({ item, completed: true, text: item })
  this.jobBench.manager.scheduleStore(job)
  await passTime(this.jobBench, 5000)
  assert.equal(job.storedResults().length, stored)
  this.jobBench.manager.close()
})

When('the instance has restarted, and the job is submitted again before stored jobs are taken over', async function (
  this: JobApiWorld
) {
  restart(this)
  this.submitting = beginSubmission(this.jobBench, JOB, this.items)
  await passTime(this.jobBench, 100)
})

When('the instance has restarted, and the job is submitted again while stored jobs are taken over', async function (
  this: JobApiWorld
) {
  restart(this)
  this.jobBench.manager.recover().catch(assert.ifError)
  await this.jobBench.clock.advance(TAKEOVER_MS)
  this.submitting = beginSubmission(this.jobBench, JOB, this.items)
  await passTime(this.jobBench, 100)
})

When('the job is ended at another instance', async function (this: JobApiWorld) {
  const ending = createJobBench({ id: 'instance-2', shared: this.jobBench }).api.end(JOB)
  await passTime(this.jobBench, 200)
  assert.ok((await ending).isOk())
  // As heard by gossip.
  this.jobBench.registry.update(JOB, { owner: OWNER, epoch: 9, ended: true, isAccepted: true }, 'peer')
})

Then('the job is accepted, and lists its {int} results at any time of the next {int} s', async function (
  this: JobApiWorld, count: number, seconds: number
) {
  assert.ok((await this.submitting).isOk())
  for (let passedMs = 0; passedMs < seconds * 1000; passedMs += 100) {
    const reading = this.jobBench.api.read(JOB, 0, 0)
    await passTime(this.jobBench, 100)
    const page = (await reading)._unsafeUnwrap()
    assert.equal(page.results.length, count, `${page.results.length} results after ${passedMs} ms`)
  }
  this.jobBench.manager.close()
})

Then('{int} items of the job are open at the instance', function (this: JobApiWorld, count: number) {
  assert.equal(this.jobBench.registry.get(JOB)?.openItems().size, count)
})

Given('an instance that was lost while it stored a job of {int} items, of which only the record is stored', async function (
  this: JobApiWorld, count: number
) {
  this.jobBench = createJobBench({ id: OWNER })
  this.items = count
  const { platform, manager } = this.jobBench
  platform.faultOf = ({ kind }) => kind === JOB_KINDS.input ? 'down' : undefined
  // Its caller gets no answer.
  await submitJob(this.jobBench, JOB, count)
  manager.close()
  assert.deepEqual([JOB_KINDS.record, JOB_KINDS.input].map((kind) => platform.objects(kind).length), [1, 0])
  platform.faultOf = () => undefined
})

When('the instance is back and has told a peer what it knows of jobs', async function (this: JobApiWorld) {
  restart(this)
  const { jobBench } = this
  this.peerBench = createJobBench({ id: 'instance-2', shared: jobBench })
  jobBench.manager.recover().catch(assert.ifError)
  for (let passed = 0; passed < RECOVERY_MS; passed += TELL_MS) {
    await passTime(jobBench, TELL_MS)
    for (const { job, ...state } of jobBench.registry.getNotices()) this.peerBench.registry.update(job, state, 'peer')
  }
})

When('the job is submitted again at that peer', function (this: JobApiWorld) {
  this.submitting = beginSubmission(this.peerBench, JOB, this.items)
})

Then('the job is accepted, and its input is stored', async function (this: JobApiWorld) {
  await passTime(this.jobBench, 500)
  assert.ok((await this.submitting).isOk())
  const inputs = this.jobBench.platform.objects(JOB_KINDS.input)
  assert.equal(inputs.flatMap(({ value }) => (value as { items: unknown[] }).items).length, this.items)
})

Then('within {int} s the instance that is back has {int} items of the job open', async function (
  this: JobApiWorld, seconds: number, count: number
) {
  const { jobBench } = this
  for (let passed = 0; passed < seconds * 1000 && jobBench.registry.get(JOB) === undefined; passed += TELL_MS) {
    jobBench.reconciler.tick()
    await passTime(jobBench, TELL_MS)
  }
  assert.equal(jobBench.registry.get(JOB)?.openItems().size, count)
  jobBench.manager.close()
})
