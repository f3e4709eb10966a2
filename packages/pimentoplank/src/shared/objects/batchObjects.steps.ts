import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import * as fc from 'fast-check'
import { toChunkName, createBitmap, toJobName, parseChunkName, toUploadEndName, toUploadHeadName } from '.'

interface NamesWorld {
  chunkNames: string[]
  sorted: string[]
}

const JOB = toJobName('dunes', 'rosters')

When('{int} chunk names of an upload are sorted with its first object', function (this: NamesWorld, count: number) {
  this.chunkNames = Array.from({ length: count }, (_, index) => toChunkName(JOB, 'upload', index))
  const all = [...this.chunkNames, toUploadHeadName(JOB, 'upload'), toUploadEndName(JOB, 'upload')]
  this.sorted = all.reverse().sort()
})

Then('they are in chunk order between the first object and the end name', function (this: NamesWorld) {
  const expected = [toUploadHeadName(JOB, 'upload'), ...this.chunkNames, toUploadEndName(JOB, 'upload')]
  assert.deepEqual(this.sorted, expected)
})

Then('each chunk name parses to its job, upload and index', function (this: NamesWorld) {
  const parts = this.chunkNames.map(parseChunkName)
  assert.deepEqual(parts, this.chunkNames.map((_, index) => ({ job: JOB, uploadId: 'upload', index })))
})

Then('{int} random sets of items are preserved by a bitmap', function (runs: number) {
  fc.assert(fc.property(fc.uniqueArray(fc.nat(299)), (items) => {
    const bitmap = createBitmap(300)
    for (const item of items) bitmap.add(item)
    assert.deepEqual(createBitmap(300, bitmap.encode()).values(), items.sort((a, b) => a - b))
  }), { numRuns: runs, verbose: true })
})
