// Uploads one large job through one entry process, reads its results back, and reports the process's peak memory.
// Usage: node --import tsx scripts/benchBatchMemory.mjs [items]; the bundles must have been built.
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'
import { Readable } from 'node:stream'
import { request } from 'undici'
import { startDeployment, deploymentPlan } from '../packages/standins/src/deployment/index.ts'
import { putFirstNote } from '../packages/standins/src/bench/putNote.ts'
import { createPlatformClient, OBJECT_KINDS, toChunkName, toSegmentName } from '../packages/pimentoplank/src/shared/index.ts'

const ITEMS = Number(process.argv[2] ?? 210_000)
const LIMIT_KB = 256 * 1024
const START_LIMIT_MS = 20_000
const ANSWER = 'The camels leave at six. '.repeat(16)

function * uploadLines () {
  for (let index = 0; index < ITEMS; index++) {
    const content = `Write the roster of guide ${index}. ${'Trail notes follow. '.repeat(10)}`
    yield `${JSON.stringify({ id: `item-${index}`, body: { messages: [{ role: 'user', content }] } })}\n`
  }
}

async function readPeakKb (pid) {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmHWM:\s+(\d+)/.exec(status)[1])
}

async function uploadJob (base, headers) {
  const until = Date.now() + START_LIMIT_MS
  for (;;) {
    const res = await request(`${base}/v1/batches?model=desk-lm-8b`, {
      method: 'POST', headers: { ...headers, 'idempotency-key': 'memory' }, body: Readable.from(uploadLines())
    })
    const body = await res.body.json()
    if (res.statusCode === 201) return body
    // The entry process may not have received the configuration yet.
    if (Date.now() > until) throw new Error(JSON.stringify(body))
    await new Promise((resolve) => setTimeout(resolve, 200))
  }
}

// Writes the results as a runner does, so that only the entry process is measured.
async function writeResults (platform, job) {
  const { value } = (await platform.get(OBJECT_KINDS.job, job))._unsafeUnwrap()
  for (let index = 0; index < value.chunks; index++) {
    const chunk = toChunkName(job, value.uploadId, index)
    const { items } = (await platform.get(OBJECT_KINDS.chunk, chunk))._unsafeUnwrap().value
    const results = items.map(({ id }) => ({ id, status: 'done', response: { choices: [{ index: 0, text: ANSWER }] } }))
    const segment = toSegmentName(chunk, 1, 0)
    const counts = { done: items.length, failed: 0, unknown: 0 }
    const checkpoint = {
      epoch: 1,
      owner: null,
      state: 'complete',
      items: items.length,
      finished: '',
      started: '',
      counts,
      segments: [{ name: segment, results: items.length }]
    }
    const stored = await platform.put(OBJECT_KINDS.segment, segment, { results }, { ifRevision: 0 })
    const listed = await platform.put(OBJECT_KINDS.checkpoint, chunk, checkpoint, { ifRevision: 0 })
    stored._unsafeUnwrap()
    listed._unsafeUnwrap()
  }
  return value.chunks
}

async function countResults (base, headers, job) {
  const res = await request(`${base}/v1/batches/${job}/results`, { headers })
  const ids = new Set()
  let lines = 0
  for await (const line of createInterface({ input: res.body })) {
    ids.add(JSON.parse(line).id)
    lines++
  }
  return { lines, ids: ids.size }
}

const folder = await mkdtemp(path.join(tmpdir(), 'bench-batch-memory-'))
const plan = deploymentPlan.parse({
  region: 'local', failureDomains: ['local-a'], entries: 1, batches: 0, controllers: 0, engines: []
})
const deployment = await startDeployment({ plan, folder })
const platform = createPlatformClient({ url: deployment.platformUrl })
try {
  await putFirstNote(deployment.platformUrl, JSON.parse(await readFile('playground/demo/release-note.json', 'utf8')))
  const keys = JSON.parse(await readFile('playground/demo/keys.json', 'utf8'))
  const headers = { authorization: `Bearer ${keys.nightly}` }
  const base = `http://${deployment.entryAddresses()[0]}`
  const { pid } = [...deployment.processes].find(([id]) => id.startsWith('entry'))[1]
  const idleKb = await readPeakKb(pid)
  const startedAt = Date.now()
  const job = await uploadJob(base, headers)
  const uploadMs = Date.now() - startedAt
  const uploadPeakKb = await readPeakKb(pid)
  const chunks = await writeResults(platform, job.id)
  const readAt = Date.now()
  const { lines, ids } = await countResults(base, headers, job.id)
  const peakKb = await readPeakKb(pid)
  const readMs = Date.now() - readAt
  const memory = { idleKb, uploadPeakKb, peakKb, limitKb: LIMIT_KB }
  console.log(JSON.stringify({ items: ITEMS, chunks, lines, ids, uploadMs, readMs, ...memory }))
  process.exitCode = lines === ITEMS && ids === ITEMS && peakKb < LIMIT_KB ? 0 : 1
} finally {
  await platform.close()
  await deployment.stop()
  await rm(folder, { recursive: true })
}
