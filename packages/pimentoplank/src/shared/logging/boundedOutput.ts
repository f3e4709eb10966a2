/** Writes log lines without ever blocking the process: what a slow reader leaves no room for is dropped and counted. */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

export interface BoundedOutputOptions {
  /** Where lines go. */
  output: NodeJS.WritableStream & { writableLength: number }
  /** Most bytes that may wait to be written. */
  maxWaitingBytes?: number
}

const DEFAULT_MAX_WAITING_BYTES = 1_048_576

/** Creates the output; a line that says how many were dropped follows once there is room again. */
export function createBoundedOutput (options: BoundedOutputOptions): Writable {
  const { output, maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES } = options
  let dropped = 0
  return new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (output.writableLength > maxWaitingBytes) {
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
  // A reader that is gone must not end the process.
  output.on('error', () => undefined)
  output.unref()
  return output
}
