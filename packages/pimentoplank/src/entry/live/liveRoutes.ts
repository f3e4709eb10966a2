/** `POST /v1/chat/completions` and `POST /v1/completions`. */
import { Hono, type Context } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import {
  hashPrompt, RefusalError, type AccountEntry, type ConfigView, type ModelEntry
} from '../../shared'
import type { AccountLimits } from '../api/accountLimits'
import { refuse } from '../api/problems'
import { parseJsonBody, readBody } from '../api/requestBody'
import { readOnceKey, readTimeout } from '../api/requestHeaders'
import type { EntryEnv } from '../context'
import { computeContentHash, type IntentRegistry } from '../once'
import type { EntrySettings } from '../settings'
import { collectAnswer, streamEvents } from './answers'
import { COMPLETION_FORMATS, type CompletionIdentity } from './completionFormat'
import type { LiveDeps, LiveJob, LiveRun } from './liveJob'
import { createLiveRun } from './liveRun'
import { startOnceRun } from './onceRun'
import { chatRequest, completionRequest, type LiveRequest } from './requests'

const ADAPTER_SEPARATOR = '+'

export interface LiveRouteDeps extends LiveDeps {
  settings: EntrySettings
  config: ConfigView
  limits: AccountLimits
  once: IntentRegistry
}

type Kind = LiveJob['kind']

const SCHEMAS = { chat: chatRequest, completion: completionRequest } as const

/** Request that has passed all checks. */
interface CheckedRequest {
  kind: Kind
  req: LiveRequest
  job: LiveJob
  identity: CompletionIdentity
  onceKey: string | undefined
  contentHash: string
}

/** Creates the routes; earlier middleware must have authenticated the caller. */
export function createLiveRoutes (deps: LiveRouteDeps): Hono<EntryEnv> {
  const app = new Hono<EntryEnv>()
  app.get('/v1/models', (c) => c.json(listModels(deps)))
  app.post('/v1/chat/completions', async (c) => await serve(c, 'chat', deps))
  app.post('/v1/completions', async (c) => await serve(c, 'completion', deps))
  return app
}

async function serve (c: Context<EntryEnv>, kind: Kind, deps: LiveRouteDeps): Promise<Response> {
  const admitted = deps.limits.admit(c.get('account'))
  if (admitted.isErr()) return refuse(c, deps, admitted.error)
  const releaseRequest = admitted.value
  const checked = await checkRequest(c, kind, deps)
  if (checked.isErr()) {
    releaseRequest()
    return refuse(c, deps, checked.error)
  }
  const run = await startRun(c, checked.value, deps)
  if (run.isErr()) {
    releaseRequest()
    return refuse(c, deps, run.error)
  }
  if (checked.value.req.stream) return await sendEvents(c, checked.value, run.value, releaseRequest, deps)
  try {
    return await sendAnswer(c, checked.value, run.value, deps)
  } finally {
    releaseRequest()
  }
}

async function sendAnswer (
  c: Context<EntryEnv>,
  { kind, identity }: CheckedRequest,
  run: LiveRun,
  deps: LiveRouteDeps
): Promise<Response> {
  const answer = await collectAnswer(run, identity)
  if (answer.isErr()) return refuse(c, deps, answer.error)
  return c.json(COMPLETION_FORMATS[kind].formatAnswer(answer.value) as object)
}

async function sendEvents (
  c: Context<EntryEnv>,
  { kind, identity }: CheckedRequest,
  run: LiveRun,
  releaseRequest: () => void,
  deps: LiveRouteDeps
): Promise<Response> {
  // A failure before the first event can still be answered with its own status.
  const first = await run.next()
  if (first.isErr()) {
    releaseRequest()
    return refuse(c, deps, first.error)
  }
  return streamEvents(c, run, first.value, {
    identity,
    format: COMPLETION_FORMATS[kind],
    clock: deps.clock,
    metrics: deps.metrics,
    stallTimeoutMs: deps.settings.streams.callerStallTimeoutMs,
    onClose: releaseRequest
  })
}

async function checkRequest (
  c: Context<EntryEnv>,
  kind: Kind,
  deps: LiveRouteDeps
): Promise<Result<CheckedRequest, RefusalError>> {
  const onceKey = readOnceKey(c)
  if (onceKey.isErr()) return err(onceKey.error)
  const timeoutMs = readTimeout(c, deps.settings.deadlines)
  if (timeoutMs.isErr()) return err(timeoutMs.error)
  const body = await readBody(c, deps.settings.maxBodyBytes)
  if (body.isErr()) return err(body.error)
  const req = parseJsonBody<typeof chatRequest | typeof completionRequest>(body.value, SCHEMAS[kind])
  if (req.isErr()) return err(req.error)
  const model = findModel(req.value.model, deps.config)
  if (model.isErr()) return err(model.error)
  const requestId = c.get('requestId')
  return ok({
    kind,
    req: req.value,
    onceKey: onceKey.value,
    contentHash: computeContentHash('POST', c.req.path, body.value),
    identity: {
      id: COMPLETION_FORMATS[kind].idPrefix + requestId,
      model: req.value.model,
      created: Math.floor(deps.clock.wallTime() / 1000)
    },
    job: createJob(c.get('account'), kind, req.value, model.value, requestId, timeoutMs.value)
  })
}

function createJob (
  account: AccountEntry,
  kind: Kind,
  req: LiveRequest,
  model: ModelEntry,
  requestId: string,
  timeoutMs: number
): LiveJob {
  return {
    requestId,
    kind,
    body: req,
    service: model.service,
    model: model.name,
    account: account.name,
    weight: account.weight,
    timeoutMs,
    ...hashPrompt(req.model, req),
    repeatable: true
  }
}

async function startRun (
  c: Context<EntryEnv>,
  checked: CheckedRequest,
  deps: LiveRouteDeps
): Promise<Result<LiveRun, RefusalError>> {
  const { job, onceKey, contentHash, identity } = checked
  if (onceKey === undefined) return ok(createLiveRun({ ...job, signal: c.req.raw.signal }, deps))
  return await startOnceRun(job, identity, { account: job.account, key: onceKey, contentHash }, deps)
}

function findModel (name: string, config: ConfigView): Result<ModelEntry, RefusalError> {
  const [modelName = '', adapterName] = name.split(ADAPTER_SEPARATOR)
  const model = config.current().models.get(modelName)
  const hasAdapter = adapterName === undefined || model?.adapters.some((adapter) => adapter.name === adapterName)
  if (model !== undefined && hasAdapter === true) return ok(model)
  return err(new RefusalError('unknownModel', { detail: `no model ${name} is in service`, field: 'model' }))
}

function listModels ({ config }: LiveRouteDeps): unknown {
  const names = [...config.current().models.values()].flatMap((model) =>
    [model.name, ...model.adapters.map((adapter) => model.name + ADAPTER_SEPARATOR + adapter.name)])
  return { object: 'list', data: names.map((id) => ({ id, object: 'model' })) }
}
