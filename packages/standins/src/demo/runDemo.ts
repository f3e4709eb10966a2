/** The steps of the demo: apply a release note, await a live response, run live load alone and beside a batch job. */
import { execFile } from 'node:child_process'
import { readFile } from 'node:fs/promises'
import path from 'node:path'
import { promisify } from 'node:util'
import { createCaller, createJobClient, type Caller, type JobResult, type JobStatus, type LiveResponse } from '../caller'
import type { Deployment } from '../deployment'
import { createLiveStatistics, type LiveStatistics } from './liveStatistics'

const run = promisify(execFile)

const FIRST_RESPONSE_TIMEOUT_MS = 20_000
const JOB_TIMEOUT_MS = 60_000
const POLL_MS = 100
const LIVE_ALONE_MS = 2500
const LIVE_INTERVAL_MS = 25
const LIVE_TOKENS = 12
const HTTP_OK = 200
const HTTP_CREATED = 201

export interface DemoFiles {
  /** Folder for logs and settings of the run. */
  folder: string
  releaseNote: string
  keys: string
  batch: string
}

export interface DemoOutcome {
  firstResponse: LiveResponse
  liveAlone: LiveStatistics
  liveBeside: LiveStatistics
  /** Ids of the items that were submitted. */
  submitted: string[]
  results: JobResult[]
  job: JobStatus
  jobMs: number
}

interface DemoKeys {
  operator: string
  [account: string]: string
}

interface BatchLine {
  id: string
  body: { model: string }
}

/** Runs the steps on a deployment that is listening; throws when a step fails. */
export async function runDemo (deployment: Deployment, files: DemoFiles): Promise<DemoOutcome> {
  const keys = JSON.parse(await readFile(files.keys, 'utf8')) as DemoKeys
  const [liveKey, batchKey] = Object.entries(keys).filter(([name]) => name !== 'operator').map(([, key]) => key)
  const items = await readItems(files.batch)
  const model = items[0]!.body.model
  const seeds = deployment.entryAddresses()
  const live = createCaller({ seeds, key: liveKey! })
  const batch = createCaller({ seeds, key: batchKey! })
  try {
    await applyNote(deployment, files)
    const response = await waitForLiveResponse(live, model)
    console.log(`First live response: ${response.tokens} tokens, first after ${response.firstTokenMs?.toFixed(0)} ms: ${response.text.trim()}`)
    const liveAlone = await runLive(live, model, delay(LIVE_ALONE_MS))
    const startedAt = Date.now()
    const submitted = await submitJob(batch, items)
    const jobDone = waitForJob(batch, submitted)
    const liveBeside = await runLive(live, model, jobDone)
    const job = await jobDone
    const results = await createJobClient(batch).getResults(submitted)
    const ids = items.map((item) => item.id)
    return {
      firstResponse: response, liveAlone, liveBeside, submitted: ids, results, job, jobMs: Date.now() - startedAt
    }
  } finally {
    await Promise.all([live.close(), batch.close()])
  }
}

async function readItems (file: string): Promise<BatchLine[]> {
  const lines = (await readFile(file, 'utf8')).split('\n').filter(Boolean)
  return lines.map((line) => JSON.parse(line) as BatchLine)
}

async function applyNote (deployment: Deployment, files: DemoFiles): Promise<void> {
  const cli = path.resolve('packages/pimentoplank/dist/pimentoplank.js')
  const { stdout } = await run(process.execPath, [cli, 'apply', files.releaseNote, '--config', deployment.cliSettings])
  console.log(stdout.trim())
}

async function waitForLiveResponse (caller: Caller, model: string): Promise<LiveResponse> {
  const deadline = Date.now() + FIRST_RESPONSE_TIMEOUT_MS
  for (;;) {
    const response = await caller.chat({ model, prompt: 'Which routes are open tomorrow?', maxTokens: LIVE_TOKENS })
    if (response.isComplete) return response
    if (Date.now() > deadline) throw new Error(`no complete live response in time: ${response.reason ?? response.failure ?? 'cut'}`)
    await delay(POLL_MS)
  }
}

async function submitJob (caller: Caller, items: BatchLine[]): Promise<string> {
  const { statusCode, body } = await createJobClient(caller).submit('demo-job', items)
  if (statusCode !== HTTP_CREATED && statusCode !== HTTP_OK) throw new Error(`batch job was refused: ${JSON.stringify(body)}`)
  return (body as { id: string }).id
}

async function waitForJob (caller: Caller, id: string): Promise<JobStatus> {
  const deadline = Date.now() + JOB_TIMEOUT_MS
  for (;;) {
    const status = await createJobClient(caller).getStatus(id)
    if (status.state === 'done') return status
    if (Date.now() > deadline) throw new Error(`batch job did not end in time: ${JSON.stringify(status)}`)
    await delay(POLL_MS)
  }
}

/** Sends live requests at a steady pace until the given work ends. */
async function runLive (caller: Caller, model: string, until: Promise<unknown>): Promise<LiveStatistics> {
  const statistics = createLiveStatistics()
  const endSignal = new AbortController()
  const ended = until.catch(() => undefined).finally(() => endSignal.abort())
  const running: Array<Promise<void>> = []
  for (let index = 0; !endSignal.signal.aborted; index++) {
    const prompt = `Question ${index}: is route ${index % 40} open?`
    running.push(caller.chat({ model, prompt, maxTokens: LIVE_TOKENS }).then(statistics.record))
    await Promise.race([delay(LIVE_INTERVAL_MS), ended])
  }
  await Promise.all(running)
  return statistics
}

async function delay (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
