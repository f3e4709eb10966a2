import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBoundedOutput, createLog, type Log } from '.'

interface SlowReader {
  waiting: string[]
  taken: string[]
  readonly writableLength: number
  write: (line: string) => boolean
}

interface LogWorld {
  reader: SlowReader
  boundedLog: Log
}

const MAX_WAITING_BYTES = 200_000

Given('a log whose reader takes nothing', function (this: LogWorld) {
  const reader: SlowReader = {
    waiting: [],
    taken: [],
    get writableLength () { return reader.waiting.join('').length },
    write: (line) => reader.waiting.push(line) > 0
  }
  this.reader = reader
  const stream = createBoundedOutput({ output: reader as never, maxWaitingBytes: MAX_WAITING_BYTES })
  this.boundedLog = createLog({ name: 'test', stream })
})

When('{int} line(s) of {int} characters are logged', function (this: LogWorld, lines: number, length: number) {
  for (let line = 0; line < lines; line++) this.boundedLog.info({ text: 'x'.repeat(length) }, 'line')
})

Then('at most {int} lines wait to be written', function (this: LogWorld, most: number) {
  assert.ok(this.reader.waiting.length <= most, `${this.reader.waiting.length} lines`)
})

When('the reader takes everything', function (this: LogWorld) {
  this.reader.taken.push(...this.reader.waiting.splice(0))
})

Then('a line says that more than {int} lines were dropped', function (this: LogWorld, least: number) {
  const [note] = this.reader.waiting.map((line) => JSON.parse(line) as { dropped?: number })
  assert.ok((note?.dropped ?? 0) > least, JSON.stringify(note))
})
