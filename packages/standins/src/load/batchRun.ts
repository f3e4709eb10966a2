/** Submits the batch jobs of an experiment, polls their status, and checks the results for lost and duplicate items. */
import { SECOND_MS, type Clock } from 'pimentoplank/shared'
import { createJobClient, type Caller, type JobClient, type JobResult, type JobStatus } from '../caller'
import { FAIL_MARKER } from '../engine'
import { generatePrefixes } from './arrivals'
import type { BatchLoad, Experiment } from './experiment'
import type { BatchOutcome, JobOutcome, ProgressPoint } from './result'

const FINAL_STATES = new Set(['done', 'cancelled'])
const MAX_SUBMIT_ATTEMPTS = 10
const MAX_READ_ATTEMPTS = 5
const HTTP_BAD_REQUEST = 400
const HTTP_TOO_MANY_REQUESTS = 429
const HTTP_SERVER_ERROR = 500

interface BatchItem {
  id: string
  body: object
}

export interface BatchRunOptions {
  clock: Clock
  experiment: Experiment
  batch: BatchLoad
  caller: Caller
  /** Start of the experiment, on the clock. */
  startedAt: number
}

/** Submits all jobs and waits until each has ended or its time limit has passed. */
export async function runBatch (options: BatchRunOptions): Promise<BatchOutcome> {
  const { clock, batch, startedAt } = options
  await clock.sleep(Math.max(0, startedAt + batch.startAtMs - clock.now()))
  const submittedAt = clock.now()
  const finished = new Array<number>(batch.jobs).fill(0)
  const progress: ProgressPoint[] = []
  const jobs = await Promise.all(finished.map(async (_, index) => await runJob(options, index, (count) => {
    finished[index] = count
    progress.push({ atMs: clock.now() - startedAt, finished: finished.reduce((sum, each) => sum + each, 0) })
  })))
  const seconds = (clock.now() - submittedAt) / SECOND_MS
  const total = jobs.reduce((sum, job) => sum + job.done + job.failed + job.unknown, 0)
  return { jobs, itemsPerSecond: total / seconds, progress }
}

async function runJob (
  options: BatchRunOptions,
  index: number,
  onProgress: (finished: number) => void
): Promise<JobOutcome> {
  const { clock, batch, experiment } = options
  const client = createJobClient(options.caller)
  const items = createItems(experiment, batch, index)
  const startedAt = clock.now()
  const id = await submitWithRetries(options, client, `${experiment.name}-${experiment.seed}-${index}-${Date.now()}`, items)
  const status = await waitForJob(options, client, id, onProgress)
  const durationMs = clock.now() - startedAt
  const results = await fetchResults(options, client, id)
  return { id, state: status.state, items: items.length, durationMs, ...countResults(items, results) }
}

/** Submits a job; after a retryable refusal it is submitted again with the same idempotency key. */
async function submitWithRetries (
  { clock }: BatchRunOptions,
  client: JobClient,
  key: string,
  items: BatchItem[]
): Promise<string> {
  for (let attempt = 1; ; attempt++) {
    const response = await client.submit(key, items)
    const { statusCode } = response
    if (statusCode < HTTP_BAD_REQUEST) return (response.body as { id: string }).id
    const isRetryable = statusCode === HTTP_TOO_MANY_REQUESTS || statusCode >= HTTP_SERVER_ERROR
    if (!isRetryable || attempt === MAX_SUBMIT_ATTEMPTS) throw new Error(`batch job was refused: ${JSON.stringify(response.body)}`)
    await clock.sleep(SECOND_MS)
  }
}

async function waitForJob (
  { clock, batch }: BatchRunOptions,
  client: JobClient,
  id: string,
  onProgress: (finished: number) => void
): Promise<JobStatus> {
  const timeLimit = clock.now() + batch.limitMs
  for (;;) {
    // The instance may have just stopped or been killed; the job continues, so the next poll tries again.
    const status = await client.getStatus(id).catch(() => undefined)
    if (status?.counts !== undefined) onProgress(status.counts.done + status.counts.failed + status.counts.unknown)
    const shouldStop = status !== undefined && (FINAL_STATES.has(status.state) || clock.now() > timeLimit)
    if (shouldStop) return status
    if (clock.now() > timeLimit + batch.limitMs) throw new Error(`no instance returned the status of job ${id}`)
    await clock.sleep(batch.pollMs)
  }
}

/** Reads the results; reads again from the start when the response is cut off. */
async function fetchResults ({ clock }: BatchRunOptions, client: JobClient, id: string): Promise<JobResult[]> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await client.getResults(id)
    } catch (cause) {
      if (attempt === MAX_READ_ATTEMPTS) throw cause
      await clock.sleep(SECOND_MS)
    }
  }
}

function createItems (experiment: Experiment, batch: BatchLoad, job: number): BatchItem[] {
  const prefixes = generatePrefixes(experiment.seed, 'batch', batch.promptPrefixes, batch.prefixChars)
  const failInterval = batch.neverCompleting === 0 ? Infinity : Math.ceil(batch.itemsPerJob / batch.neverCompleting)
  return Array.from({ length: batch.itemsPerJob }, (_, index) => {
    const marker = index % failInterval === failInterval - 1 ? ` ${FAIL_MARKER}` : ''
    const content = `${prefixes[index % prefixes.length]}Note ${job}/${index}${marker}`
    return {
      id: `item-${index}`,
      body: { model: experiment.model, max_tokens: batch.maxTokens, messages: [{ role: 'user', content }] }
    }
  })
}

function countResults (
  items: readonly BatchItem[],
  results: readonly JobResult[]
): Pick<JobOutcome, 'done' | 'failed' | 'unknown' | 'lost' | 'doubled'> {
  const resultsById = new Map<string, number>()
  for (const { id } of results) resultsById.set(id, (resultsById.get(id) ?? 0) + 1)
  const countStatus = (status: string): number => results.filter((result) => result.status === status).length
  return {
    done: countStatus('done'),
    failed: countStatus('failed'),
    unknown: countStatus('unknown'),
    lost: items.filter(({ id }) => !resultsById.has(id)).length,
    doubled: [...resultsById.values()].filter((count) => count > 1).length
  }
}
