import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createJobBench, passTime, submitJob, type JobBench } from './testing/jobBench'

interface StoredFormsWorld {
  jobBench: JobBench
}

const JOB = 'sample'
const OWNER = 'instance-1'
/** Objects as 4ba1416 writes them, by kind and name. */
const SAMPLES: Record<string, Record<string, object>> = {
  jobs: {
    [JOB]: {
      route: 'batch',
      host: 'h',
      owner: OWNER,
      epoch: 1,
      submittedAt: 0,
      total: 2,
      inputParts: 1,
      tokens: 2,
      ended: false,
      finished: false
    }
  },
  'job-inputs': {
    [`${JOB}.000000`]: {
      items: [
        { id: 'a', path: '/x', headers: ['Model', 'm'], body: '', tokens: 1 },
        { id: 'b', path: '/x', headers: ['Model', 'm'], body: '', tokens: 1 }
      ],
      parts: 1
    }
  },
  'job-results': {
    [`${JOB}.000000`]: { results: [{ item: 'a', completed: true, text: 'text of a' }], epoch: 1 }
  }
}
/** Fields that 4ba1416 writes in some cases only. */
const OPTIONAL_FIELDS = ['accepted']
/** Longer than a third of an object, so that three results don't fit one. */
const LONG_TEXT = 'x'.repeat(400_000)

function listFields (value: unknown, prefix = ''): string[] {
  if (Array.isArray(value)) return value.flatMap((one) => listFields(one, `${prefix}[]`))
  if (typeof value !== 'object' || value === null) return [prefix]
  return Object.entries(value).flatMap(([name, one]) => listFields(one, `${prefix}.${name}`))
}

Given('the stored objects of a job as the build in production writes them', async function (this: StoredFormsWorld) {
  this.jobBench = createJobBench({ id: OWNER })
  const client = this.jobBench.platform.client('production')
  const writes = Object.entries(SAMPLES).flatMap(([kind, objects]) =>
    Object.entries(objects).map(async ([name, value]) => await client.put(kind, name, value, { ifRevision: 0 })))
  await passTime(this.jobBench, 100)
  for (const written of await Promise.all(writes)) assert.ok(written.isOk())
})

When('an instance of this build starts as their owner', async function (this: StoredFormsWorld) {
  this.jobBench.manager.recover().catch(assert.ifError)
  await passTime(this.jobBench, 500)
})

Then('it has {int} of the job\'s items open, and lists the result of the other', async function (
  this: StoredFormsWorld, count: number
) {
  const { registry, api, manager } = this.jobBench
  assert.equal(registry.get(JOB)?.openItems().size, count)
  const page = (await api.read(JOB, 0, 0))._unsafeUnwrap()
  assert.deepEqual(page.results, [{ item: 'a', completed: true, text: 'text of a' }])
  manager.close()
})

When('an instance of this build accepts a job, stores its results in several parts and notes that it is finished', async function (
  this: StoredFormsWorld
) {
  const { registry, manager, platform } = this.jobBench
  assert.ok((await submitJob(this.jobBench, 'own', 5)).isOk())
  const job = registry.get('own')!
  for (const item of [...job.openItems().keys()]) job.finishItem({ item, completed: true, text: LONG_TEXT })
  manager.scheduleStore(job)
  await passTime(this.jobBench, 5000)
  assert.equal(platform.objects('job-results').filter(({ name }) => name.startsWith('own')).length, 3)
  assert.equal(job.record().finished, true)
})

When('the job of the build in production is taken over and ended', async function (this: StoredFormsWorld) {
  const { api, registry, manager } = this.jobBench
  manager.recover().catch(assert.ifError)
  await passTime(this.jobBench, 500)
  assert.ok(registry.get(JOB) !== undefined)
  const ending = api.end(JOB)
  await passTime(this.jobBench, 200)
  assert.ok((await ending).isOk())
  manager.close()
})

Then('each stored object has the fields of the like object of the build in production', function (this: StoredFormsWorld) {
  for (const [kind, samples] of Object.entries(SAMPLES)) {
    const known = new Set(Object.values(samples).flatMap((value) => listFields(value)))
    if (kind === 'jobs') for (const name of OPTIONAL_FIELDS) known.add(`.${name}`)
    for (const { name, value } of this.jobBench.platform.objects(kind)) {
      for (const field of listFields(value)) assert.ok(known.has(field), `${kind}/${name} has ${field}`)
    }
  }
})
