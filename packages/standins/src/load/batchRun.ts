/** Submits the batch jobs of an experiment, follows them, and checks each id of the results. */
import { SECOND_MS, type Clock } from 'pimentoplank/shared'
import { createJobClient, type Caller, type JobClient, type JobResult, type JobStatus } from '../caller'
import { FAIL_MARKER } from '../engine'
import { drawPrefixes } from './arrivals'
import type { BatchLoad, Experiment } from './experiment'
import type { BatchOutcome, JobOutcome, ProgressPoint } from './result'

const FINAL_STATES = new Set(['done', 'cancelled'])
const SUBMIT_TRIES = 10
const READ_TRIES = 5
const HTTP_BAD_REQUEST = 400
const HTTP_TOO_MANY = 429
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

/** Submits all jobs and waits until each is finished or its limit has passed. */
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
  note: (finished: number) => void
): Promise<JobOutcome> {
  const { clock, batch, experiment } = options
  const client = createJobClient(options.caller)
  const items = drawItems(experiment, batch, index)
  const startedAt = clock.now()
  const id = await submit(options, client, `${experiment.name}-${experiment.seed}-${index}-${Date.now()}`, items)
  const status = await follow(options, client, id, note)
  const durationMs = clock.now() - startedAt
  const results = await readResults(options, client, id)
  return { id, state: status.state, items: items.length, durationMs, ...checkResults(items, results) }
}

/** Submits a job; a refusal that may pass is tried again with the same key. */
async function submit (
  { clock }: BatchRunOptions,
  client: JobClient,
  key: string,
  items: BatchItem[]
): Promise<string> {
  for (let attempt = 1; ; attempt++) {
    const reply = await client.submit(key, items)
    const { statusCode } = reply
    if (statusCode < HTTP_BAD_REQUEST) return (reply.body as { id: string }).id
    const mayPass = statusCode === HTTP_TOO_MANY || statusCode >= HTTP_SERVER_ERROR
    if (!mayPass || attempt === SUBMIT_TRIES) throw new Error(`the job was refused: ${JSON.stringify(reply.body)}`)
    await clock.sleep(SECOND_MS)
  }
}

async function follow (
  { clock, batch }: BatchRunOptions,
  client: JobClient,
  id: string,
  note: (finished: number) => void
): Promise<JobStatus> {
  const limit = clock.now() + batch.limitMs
  for (;;) {
    // An instance that just went away is no end of the job.
    const status = await client.status(id).catch(() => undefined)
    if (status?.counts !== undefined) note(status.counts.done + status.counts.failed + status.counts.unknown)
    const isOver = status !== undefined && (FINAL_STATES.has(status.state) || clock.now() > limit)
    if (isOver) return status
    if (clock.now() > limit + batch.limitMs) throw new Error(`no instance tells the state of job ${id}`)
    await clock.sleep(batch.pollMs)
  }
}

/** Reads the results; a reading that breaks off is made again. */
async function readResults ({ clock }: BatchRunOptions, client: JobClient, id: string): Promise<JobResult[]> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await client.results(id)
    } catch (cause) {
      if (attempt === READ_TRIES) throw cause
      await clock.sleep(SECOND_MS)
    }
  }
}

function drawItems (experiment: Experiment, batch: BatchLoad, job: number): BatchItem[] {
  const prefixes = drawPrefixes(experiment.seed, 'batch', batch.promptPrefixes, batch.prefixChars)
  const failEvery = batch.neverCompleting === 0 ? Infinity : Math.ceil(batch.itemsPerJob / batch.neverCompleting)
  return Array.from({ length: batch.itemsPerJob }, (_, index) => {
    const marker = index % failEvery === failEvery - 1 ? ` ${FAIL_MARKER}` : ''
    const content = `${prefixes[index % prefixes.length]}Note ${job}/${index}${marker}`
    return {
      id: `item-${index}`,
      body: { model: experiment.model, max_tokens: batch.maxTokens, messages: [{ role: 'user', content }] }
    }
  })
}

function checkResults (
  items: readonly BatchItem[],
  results: readonly JobResult[]
): Pick<JobOutcome, 'done' | 'failed' | 'unknown' | 'lost' | 'doubled'> {
  const seen = new Map<string, number>()
  for (const { id } of results) seen.set(id, (seen.get(id) ?? 0) + 1)
  const withStatus = (status: string): number => results.filter((result) => result.status === status).length
  return {
    done: withStatus('done'),
    failed: withStatus('failed'),
    unknown: withStatus('unknown'),
    lost: items.filter(({ id }) => !seen.has(id)).length,
    doubled: [...seen.values()].filter((count) => count > 1).length
  }
}
