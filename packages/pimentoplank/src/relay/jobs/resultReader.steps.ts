import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { JOB_KINDS, type ItemResult } from './records'
import type { ResultPage } from './resultReader'
import { createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'

interface ResultReaderWorld {
  jobBench: JobBench
  answers: ResultPage[]
  reader: JobBench
  results: ItemResult[]
  /** Segments that the platform was asked for. */
  segments: number
}

const JOB = 'job'
const MAX_WAIT_MS = 5000
/** Longer than a result is held back to be stored with others. */
const STORING_MS = 4000
const ANSWER_MS = 100
const READING_MS = 2000
const STEP_TIMEOUT_MS = 20_000

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

async function read (world: ResultReaderWorld, after: number): Promise<ResultPage> {
  const reading = world.reader.api.read(JOB, after, 0)
  await passTime(world.jobBench, READING_MS)
  return (await reading)._unsafeUnwrap()
}

Given('a job of {int} items with results of {int} characters, each stored by itself', async function (
  this: ResultReaderWorld, items: number, chars: number
) {
  this.jobBench = createJobBench()
  assert.ok((await submitJob(this.jobBench, JOB, items)).isOk())
  const job = this.jobBench.registry.get(JOB)!
  for (const item of [...job.openItems().keys()]) {
    job.finishItem({ item, completed: true, text: 'x'.repeat(chars) })
    this.jobBench.manager.scheduleStore(job)
    await passTime(this.jobBench, STORING_MS)
  }
  assert.ok(job.segmentCount() >= items)
  this.segments = 0
  const { faultOf } = this.jobBench.platform
  this.jobBench.platform.faultOf = (call) => {
    if (call.operation === 'get' && call.kind === JOB_KINDS.results) this.segments += 1
    return faultOf(call)
  }
  this.reader = createJobBench({ id: 'instance-2', shared: this.jobBench })
})

When('another instance reads its first page', async function (this: ResultReaderWorld) {
  this.answers = [await read(this, 0)]
})

Then('it has asked the platform for at most {int} segments', function (this: ResultReaderWorld, most: number) {
  assert.ok(this.answers[0]!.results.length > 0)
  assert.ok(this.segments <= most, `${this.segments} segments`)
})

When('another instance reads all its pages, one after the other', { timeout: STEP_TIMEOUT_MS }, async function (
  this: ResultReaderWorld
) {
  this.results = []
  for (let page = await read(this, 0); page.results.length > 0; page = await read(this, this.results.length)) {
    this.results.push(...page.results)
  }
})

Then('it has got the results of all {int} items, each once', function (this: ResultReaderWorld, count: number) {
  assert.equal(this.results.length, count)
  assert.equal(new Set(this.results.map(({ item }) => item)).size, count)
  this.jobBench.manager.close()
})

Given('an instance that keeps results of at most {int} characters', function (
  this: ResultReaderWorld, maxResultChars: number
) {
  this.jobBench = createJobBench({ limits: { maxResultChars } })
})

When('{int} jobs of {int} item are finished there with results of {int} characters', async function (
  this: ResultReaderWorld, count: number, items: number, chars: number
) {
  const { manager, registry } = this.jobBench
  for (let index = 0; index < count; index++) {
    assert.ok((await submitJob(this.jobBench, `job-${index}`, items)).isOk())
    const job = registry.get(`job-${index}`)!
    for (const item of [...job.openItems().keys()]) job.finishItem({ item, completed: true, text: 'x'.repeat(chars) })
    manager.scheduleStore(job)
    await passTime(this.jobBench, STORING_MS)
    manager.tick()
  }
})

Then('it keeps {int} jobs in memory', function (this: ResultReaderWorld, count: number) {
  assert.equal([...this.jobBench.registry.owned()].length, count)
})

Then('the results of all {int} jobs are read whole', async function (this: ResultReaderWorld, count: number) {
  for (let index = 0; index < count; index++) {
    const reading = this.jobBench.api.read(`job-${index}`, 0, 0)
    await passTime(this.jobBench, READING_MS)
    const { total, results } = (await reading)._unsafeUnwrap()
    assert.equal(results.length, total)
  }
  this.jobBench.manager.close()
})
