import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBoundedOutput, createLog, type Log } from '.'

interface SlowReader {
  buffered: string[]
  read: string[]
  readonly writableLength: number
  write: (line: string) => boolean
}

interface LogWorld {
  reader: SlowReader
  boundedLog: Log
}

const MAX_BUFFERED_BYTES = 200_000

Given('a log whose reader does not read', function (this: LogWorld) {
  const reader: SlowReader = {
    buffered: [],
    read: [],
    get writableLength () { return reader.buffered.join('').length },
    write: (line) => reader.buffered.push(line) > 0
  }
  this.reader = reader
  const stream = createBoundedOutput({ output: reader as never, maxBufferedBytes: MAX_BUFFERED_BYTES })
  this.boundedLog = createLog({ name: 'test', stream })
})

When('{int} line(s) of {int} characters are logged', function (this: LogWorld, lines: number, length: number) {
  for (let line = 0; line < lines; line++) this.boundedLog.info({ text: 'x'.repeat(length) }, 'line')
})

Then('at most {int} lines are buffered', function (this: LogWorld, most: number) {
  assert.ok(this.reader.buffered.length <= most, `${this.reader.buffered.length} lines`)
})

When('the reader reads all buffered lines', function (this: LogWorld) {
  this.reader.read.push(...this.reader.buffered.splice(0))
})

Then('a log line reports more than {int} dropped lines', function (this: LogWorld, least: number) {
  const [report] = this.reader.buffered.map((line) => JSON.parse(line) as { dropped?: number })
  assert.ok((report?.dropped ?? 0) > least, JSON.stringify(report))
})
