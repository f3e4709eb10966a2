/** HTTP routes of batch jobs. */
import { Hono, type Context } from 'hono'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import { err, ok, type Result } from 'neverthrow'
import {
  createSystemClock, toJobNamePrefix, jobRecord, OBJECT_KINDS, toProblemResponse, RefusalError,
  type Clock, type ConfigView, type JobRecord, type Metrics, type ObjectFeed, type PlatformClient, type StoredObject
} from '../../shared'
import type { EntryEnv } from '../context'
import { cancelJob } from './cancelJob'
import { countResults, toJobView } from './jobView'
import { batchLimits, type BatchLimits } from './limits'
import { toPlatformRefusal } from './toPlatformRefusal'
import { streamResults } from './streamResults'
import { submitJob } from './submitJob'

const KEY_HEADER = 'Idempotency-Key'
const MAX_KEY_LENGTH = 200
const DEFAULT_LIST_LIMIT = 50
const MAX_LIST_LIMIT = 200

export interface BatchRoutesDeps {
  platform: PlatformClient
  config: ConfigView
  metrics: Metrics
  clock?: Clock
  /** Receives the job objects that this instance has written. */
  feed?: ObjectFeed
  limits?: Partial<BatchLimits>
}

type BatchContext = Context<EntryEnv>

/** Creates the routes under `/v1/batches`; earlier middleware must have set account, request id and log. */
export function createBatchRoutes (deps: BatchRoutesDeps): Hono<EntryEnv> {
  const { platform, config, metrics, feed } = deps
  const clock = deps.clock ?? createSystemClock()
  const limits = batchLimits.parse(deps.limits ?? {})
  const app = new Hono<EntryEnv>()

  function refuse (c: BatchContext, error: RefusalError): Response {
    metrics.countRefusal(error.reason)
    const { body, headers } = toProblemResponse(error, c.get('requestId'))
    c.get('log').info({ reason: error.reason, field: error.field }, 'batch request refused')
    return c.body(JSON.stringify(body), body.status as ContentfulStatusCode, headers)
  }

  async function findJob (c: BatchContext): Promise<Result<{ object: StoredObject, job: JobRecord }, RefusalError>> {
    const id = c.req.param('id') ?? ''
    const account = c.get('account')
    const notFound = new RefusalError('notFound', { detail: 'no such job' })
    if (account.role !== 'operator' && !id.startsWith(toJobNamePrefix(account.name))) return err(notFound)
    const found = await platform.get(OBJECT_KINDS.job, id)
    if (found.isErr()) return err(toPlatformRefusal(found.error))
    if (found.value === null) return err(notFound)
    const job = jobRecord.parse(found.value.value)
    const isAllowed = account.role === 'operator' || job.account === account.name
    return isAllowed ? ok({ object: found.value, job }) : err(notFound)
  }

  app.post('/', async (c) => {
    const key = c.req.header(KEY_HEADER) ?? ''
    if (key === '' || key.length > MAX_KEY_LENGTH) {
      const detail = `a key of 1 to ${MAX_KEY_LENGTH} characters is needed`
      return refuse(c, new RefusalError('badRequest', { detail, field: KEY_HEADER }))
    }
    const body = c.req.raw.body ?? new ReadableStream<Uint8Array>({ start: (controller) => controller.close() })
    const defaultModel = c.req.query('model')
    const submission = { account: c.get('account').name, key, defaultModel, body }
    const submitted = await submitJob({ platform, config, clock, limits }, submission)
    if (submitted.isErr()) return refuse(c, submitted.error)
    const { object, job, created } = submitted.value
    feed?.offer(object)
    if (created) metrics.count('batch.jobs.accepted')
    c.get('log').info({ job: object.name, items: job.items, created }, 'batch job accepted')
    return c.json(toJobView(object.name, job), created ? 201 : 200, { location: `/v1/batches/${object.name}` })
  })

  app.get('/', async (c) => {
    const account = c.get('account')
    const prefix = account.role === 'operator' ? undefined : toJobNamePrefix(account.name)
    const limit = Math.min(Number(c.req.query('limit')) || DEFAULT_LIST_LIMIT, MAX_LIST_LIMIT)
    const page = await platform.list(OBJECT_KINDS.job, { prefix, limit, after: c.req.query('after') })
    if (page.isErr()) return refuse(c, toPlatformRefusal(page.error))
    const batches = page.value.items.map(({ name, value }) => toJobView(name, jobRecord.parse(value)))
    return c.json({ batches, next: page.value.next })
  })

  app.get('/:id', async (c) => {
    const found = await findJob(c)
    if (found.isErr()) return refuse(c, found.error)
    const { object, job } = found.value
    const counts = await countResults(platform, object.name, job)
    if (counts.isErr()) return refuse(c, toPlatformRefusal(counts.error))
    return c.json(toJobView(object.name, job, counts.value))
  })

  app.get('/:id/results', async (c) => {
    const found = await findJob(c)
    if (found.isErr()) return refuse(c, found.error)
    const results = await streamResults(platform, found.value.object.name, found.value.job)
    if (results.isErr()) return refuse(c, toPlatformRefusal(results.error))
    return c.body(results.value, 200, { 'content-type': 'application/x-ndjson' })
  })

  app.post('/:id/cancel', async (c) => {
    const found = await findJob(c)
    if (found.isErr()) return refuse(c, found.error)
    const cancelled = await cancelJob(platform, found.value.object)
    if (cancelled.isErr()) return refuse(c, cancelled.error)
    const { job, written } = cancelled.value
    if (written !== undefined) feed?.offer(written)
    c.get('log').info({ job: found.value.object.name, state: job.state }, 'batch job cancelled')
    return c.json(toJobView(found.value.object.name, job), written === undefined ? 200 : 202)
  })

  return app
}
