/** Log output that never blocks the process: when a slow reader fills the buffer, lines are dropped and counted. */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

export interface BoundedOutputOptions {
  /** Stream that the lines are written to. */
  output: NodeJS.WritableStream & { writableLength: number }
  /** Size of the write buffer in bytes above which lines are dropped. */
  maxBufferedBytes?: number
}

const DEFAULT_MAX_BUFFERED_BYTES = 1_048_576

/** Creates the output. Once there is buffer space again, it first writes a line with the number of dropped lines. */
export function createBoundedOutput (options: BoundedOutputOptions): Writable {
  const { output, maxBufferedBytes: maxBytes = DEFAULT_MAX_BUFFERED_BYTES } = options
  let dropped = 0
  return new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (output.writableLength > maxBytes) {
        dropped += 1
      } else {
        if (dropped > 0) output.write(`${JSON.stringify({ level: 40, msg: 'log lines dropped: the reader is slow', dropped })}\n`)
        dropped = 0
        output.write(line)
      }
      done()
    }
  })
}

const STDOUT_FD = 1

/**
 * Opens standard output for writing without blocking. Node's own stream blocks on a pipe whose reader is slow.
 */
export function openStandardOutput (): NodeJS.WritableStream & { writableLength: number } {
  const stat = fstatSync(STDOUT_FD)
  if (!stat.isFIFO() && !stat.isSocket()) return process.stdout
  const output = new Socket({ fd: STDOUT_FD, readable: false, writable: true })
  // A reader that has closed the pipe must not crash the process.
  output.on('error', () => undefined)
  output.unref()
  return output
}
