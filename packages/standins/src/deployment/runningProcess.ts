/** A child process of a development script, with its log and the line that says it is listening. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { createInterface } from 'node:readline'

/** Longest time for a process to listen, in milliseconds. */
const START_LIMIT_MS = 15_000

export interface RunningProcess {
  id: string
  pid: number
  child: ChildProcess
  /** First line of output that carries an address. */
  listening: { address: string, peerAddress?: string }
  /** Resolves with the exit code, or null after a kill. */
  exited: Promise<number | null>
  /** Sends a signal; false when the process has ended. */
  signal: (name: NodeJS.Signals) => boolean
}

export interface StartProcessOptions {
  id: string
  /** Bundle to run. */
  file: string
  args: readonly string[]
  logFile: string
  nodeArgs?: readonly string[]
}

/** Starts a process and waits until it listens. */
export async function startProcess (options: StartProcessOptions): Promise<RunningProcess> {
  const child = spawn(process.execPath, [...(options.nodeArgs ?? []), options.file, ...options.args], {
    stdio: ['ignore', 'pipe', 'pipe']
  })
  const log = createWriteStream(options.logFile)
  child.stderr.pipe(log, { end: false })
  const exited = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)))
  const listening = await waitForListening(options, child, log, exited)
  return {
    id: options.id,
    pid: child.pid!,
    child,
    listening,
    exited,
    signal: (name) => child.exitCode === null && child.signalCode === null && child.kill(name)
  }
}

async function waitForListening (
  options: StartProcessOptions,
  child: ChildProcess,
  log: NodeJS.WritableStream,
  exited: Promise<number | null>
): Promise<RunningProcess['listening']> {
  return await new Promise((resolve, reject) => {
    const limit = setTimeout(() => fail(`did not listen within ${START_LIMIT_MS} ms`), START_LIMIT_MS)
    function fail (why: string): void {
      child.kill('SIGKILL')
      reject(new Error(`${options.id} ${why}; see ${options.logFile}`))
    }
    exited.then((code) => { fail(`ended with status ${code}`) }, reject)
    createInterface({ input: child.stdout! }).on('line', (line) => {
      log.write(`${line}\n`)
      const found = readListening(line)
      if (found === undefined) return
      clearTimeout(limit)
      resolve(found)
    })
  })
}

function readListening (line: string): RunningProcess['listening'] | undefined {
  if (!line.startsWith('{')) return undefined
  const fields = JSON.parse(line) as { address?: unknown, peerAddress?: unknown }
  if (typeof fields.address !== 'string') return undefined
  return {
    address: fields.address,
    ...(typeof fields.peerAddress === 'string' ? { peerAddress: fields.peerAddress } : {})
  }
}
