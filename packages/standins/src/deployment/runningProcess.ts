/** A child process of a development script, with its log and the address that it reports when listening. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { createInterface } from 'node:readline'

/** Time within which a process must be listening, in milliseconds. */
const START_TIMEOUT_MS = 15_000

export interface RunningProcess {
  id: string
  pid: number
  child: ChildProcess
  /** Addresses from the first output line that contains any. */
  listening: { address: string, peerAddress?: string }
  /** Resolves with the exit code, or with null when a signal ended the process. */
  exited: Promise<number | null>
  /** Sends a signal; returns false when the process has already ended. */
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

/** Starts a process and waits until it is listening; rejects and kills it after 15 s, or when it exits first. */
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
    const timer = setTimeout(() => fail(`was not listening after ${START_TIMEOUT_MS} ms`), START_TIMEOUT_MS)
    function fail (why: string): void {
      child.kill('SIGKILL')
      reject(new Error(`process ${options.id} ${why}; see ${options.logFile}`))
    }
    exited.then((code) => { fail(`exited with code ${code} before it was listening`) }, reject)
    createInterface({ input: child.stdout! }).on('line', (line) => {
      log.write(`${line}\n`)
      const addresses = parseListeningLine(line)
      if (addresses === undefined) return
      clearTimeout(timer)
      resolve(addresses)
    })
  })
}

function parseListeningLine (line: string): RunningProcess['listening'] | undefined {
  if (!line.startsWith('{')) return undefined
  const fields = JSON.parse(line) as { address?: unknown, peerAddress?: unknown }
  if (typeof fields.address !== 'string') return undefined
  return {
    address: fields.address,
    ...(typeof fields.peerAddress === 'string' ? { peerAddress: fields.peerAddress } : {})
  }
}
