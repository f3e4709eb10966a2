import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { ResultPage } from './resultReader'
import { createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'

interface ResultReaderWorld {
  jobBench: JobBench
  answers: ResultPage[]
}

const JOB = 'job'
const MAX_WAIT_MS = 5000
/** Longer than a result is held back to be stored with others. */
const STORING_MS = 4000
const ANSWER_MS = 100

Given('an instance with a job of {int} items, at which at most {int} reads may wait', async function (
  this: ResultReaderWorld, items: number, maxWaitingReads: number
) {
  this.jobBench = createJobBench({ limits: { maxWaitingReads } })
  assert.ok((await submitJob(this.jobBench, JOB, items)).isOk())
})

When('{int} reads of the results from position {int} wait', function (
  this: ResultReaderWorld, count: number, after: number
) {
  this.answers = []
  for (let read = 0; read < count; read++) {
    this.jobBench.api.read(JOB, after, MAX_WAIT_MS)
      .then((page) => this.answers.push(page._unsafeUnwrap()), assert.ifError)
  }
})

When('a result of the job is stored', async function (this: ResultReaderWorld) {
  const job = this.jobBench.registry.get(JOB)!
  const [item] = job.openItems().keys()
  job.finishItem({ item: item!, completed: true, text: 'text' })
  this.jobBench.manager.scheduleStore(job)
  await passTime(this.jobBench, STORING_MS)
})

Then('{int} of them is/are answered at once, without results', async function (this: ResultReaderWorld, count: number) {
  await passTime(this.jobBench, ANSWER_MS)
  assert.equal(this.answers.length, count)
  assert.ok(this.answers.every(({ results }) => results.length === 0))
})

Then('{int} of them are answered', function (this: ResultReaderWorld, count: number) {
  assert.equal(this.answers.length, count)
})
