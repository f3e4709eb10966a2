import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import type { RefusalError } from '../../shared'
import { createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'
import type { ItemResult } from './records'

interface ResultStorageWorld {
  jobBench: JobBench
  texts: string[]
  refused: Result<void, RefusalError>
  count: number
  /** Calls of the platform for inputs or results before the last read, and after it. */
  calls: [number, number]
}

const JOB = 'job'
const CHARACTERS: Record<string, string> = {
  'of ASCII': 'x', 'of four bytes each': '\u{1F336}', 'that are escaped': '"'
}

function getJob ({ jobBench }: ResultStorageWorld): NonNullable<ReturnType<JobBench['registry']['get']>> {
  return jobBench.registry.get(JOB)!
}

Given('a job of {int} items, and a platform that refuses objects of more than {int} bytes', async function (
  this: ResultStorageWorld, count: number, bytes: number
) {
  this.jobBench = createJobBench()
  this.jobBench.platform.maxValueBytes = bytes
  assert.ok((await submitJob(this.jobBench, JOB, count)).isOk())
})

When(/^the platform is away for (\d+) s, and all items finish meanwhile with texts of (\d+) characters (.+)$/, async function (
  this: ResultStorageWorld, seconds: string, length: string, kind: string
) {
  const { platform, manager } = this.jobBench
  const job = getJob(this)
  const text = CHARACTERS[kind]!.repeat(Number(length) / CHARACTERS[kind]!.length)
  platform.faultOf = () => 'down'
  const items = [...job.openItems().keys()]
  this.texts = items.map(() => text)
  for (const item of items) {
    await passTime(this.jobBench, Number(seconds) * 1000 / items.length)
    job.finishItem({ item, completed: true, text })
    manager.scheduleStore(job)
  }
})

When('the last item had a text of {int} characters instead', function (this: ResultStorageWorld, length: number) {
  const last = getJob(this).pendingResults().at(-1)!
  Object.assign(last, { text: 'x'.repeat(length) })
})

Then('the results of all items are stored within {int} s, and read back in pages of at most {int} bytes', async function (
  this: ResultStorageWorld, seconds: number, bytes: number
) {
  const { platform, api, manager } = this.jobBench
  platform.faultOf = () => undefined
  await passTime(this.jobBench, seconds * 1000)
  const job = getJob(this)
  assert.equal(job.storedResults().length, job.record().total)
  const results: ItemResult[] = []
  while (results.length < job.record().total) {
    const reading = api.read(JOB, results.length, 0)
    await passTime(this.jobBench, 100)
    const page = (await reading)._unsafeUnwrap()
    const encoded = Buffer.byteLength(JSON.stringify(page))
    assert.ok(encoded <= bytes, `a page of ${page.results.length} results has ${encoded} bytes`)
    results.push(...page.results)
  }
  assert.deepEqual(results.filter(({ completed }) => completed).map(({ text }) => text),
    this.texts.slice(0, results.filter(({ completed }) => completed).length))
  manager.close()
})

Then('the last item is listed as failed, the others as completed', function (this: ResultStorageWorld) {
  const results = getJob(this).storedResults()
  const failed = results.filter(({ completed }) => !completed)
  assert.deepEqual(failed, [{ item: 'job-4', completed: false, text: '' }])
})

When('a job is submitted whose item has a body of {int} characters', async function (this: ResultStorageWorld, length: number) {
  this.refused = await submitJob(this.jobBench, 'large', 1, 'A'.repeat(length))
})

Then('it is refused as too large, and nothing of it is stored', function (this: ResultStorageWorld) {
  assert.equal(this.refused.isErr() && this.refused.error.reason, 'bodyTooLarge')
  assert.deepEqual(this.jobBench.platform.objects('jobs').map(({ name }) => name), [JOB])
  this.jobBench.manager.close()
})

Given('{int} jobs of {int} items with bodies and results of {int} characters', async function (
  this: ResultStorageWorld, count: number, items: number, length: number
) {
  this.jobBench = createJobBench()
  this.count = count
  const { registry, manager } = this.jobBench
  for (let index = 0; index < count; index++) {
    const id = `job${index}`
    assert.ok((await submitJob(this.jobBench, id, items, 'A'.repeat(length))).isOk())
    const job = registry.get(id)!
    for (const item of [...job.openItems().keys()]) job.finishItem({ item, completed: true, text: 'x'.repeat(length) })
    manager.scheduleStore(job)
  }
  await passTime(this.jobBench, 3000)
  manager.close()
})

When(/^another instance reads the (body|results) of each, and then that of the first again$/, async function (
  this: ResultStorageWorld, what: string
) {
  const { platform } = this.jobBench
  const other = createJobBench({ id: 'instance-2', shared: this.jobBench })
  const kind = what === 'body' ? 'job-inputs' : 'job-results'
  const countCalls = (): number => platform.calls.filter((call) => call.kind === kind && call.operation === 'get').length
  const read = async (id: string): Promise<void> => {
    const reading = what === 'body' ? other.api.body(id, `${id}-0`) : other.api.read(id, 0, 0)
    await passTime(other, 200)
    assert.ok((await reading).isOk())
  }
  for (let index = 0; index < this.count; index++) await read(`job${index}`)
  const before = countCalls()
  await read('job0')
  this.calls = [before, countCalls()]
  other.manager.close()
})

Then(/^the last read (asks|needs not) the platform$/, function (this: ResultStorageWorld, outcome: string) {
  const [before, after] = this.calls
  assert.equal(after > before, outcome === 'asks', `${after - before} calls`)
})
