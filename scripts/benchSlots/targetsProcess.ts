/** Simulated engines with slots, a FIFO queue, a prompt prefix cache, and token rates that decrease with the load. */
import { LRUCache } from 'lru-cache'
import { Hono } from 'hono'
import { stream } from 'hono/streaming'
import { setTimeout as delay } from 'node:timers/promises'
import { serveHttp } from '../../packages/pimentoplank/src/shared'
import { SLOTS_PER_TARGET, type FromProcess, type ToProcess } from './types'

const CACHED_PREFIXES = 4
const PREFILL_HIT_MS = 20
const PREFILL_MISS_MS = 120
const TOKEN_MS = 6

interface SimulatedEngine {
  running: number
  waiting: (() => void)[]
  cache: LRUCache<string, true>
}

const engines = new Map<string, SimulatedEngine>()

function getEngine (id: string): SimulatedEngine {
  const engine = engines.get(id) ?? { running: 0, waiting: [], cache: new LRUCache({ max: CACHED_PREFIXES }) }
  engines.set(id, engine)
  return engine
}

async function acquireSlot (engine: SimulatedEngine): Promise<void> {
  if (engine.running >= SLOTS_PER_TARGET) await new Promise<void>((resolve) => engine.waiting.push(resolve))
  else engine.running += 1
}

function releaseSlot (engine: SimulatedEngine): void {
  const next = engine.waiting.shift()
  if (next === undefined) engine.running -= 1
  else next()
}

const app = new Hono()
app.post('/run', (context) => {
  const engine = getEngine(context.req.query('target')!)
  const prefix = context.req.query('prefix')!
  const tokens = Number(context.req.query('tokens'))
  return stream(context, async (output) => {
    await acquireSlot(engine)
    const hit = engine.cache.has(prefix)
    engine.cache.set(prefix, true)
    await delay(hit ? PREFILL_HIT_MS : PREFILL_MISS_MS)
    await output.write(hit ? 'hit' : 'miss')
    await delay(tokens * TOKEN_MS * (1 + engine.running / SLOTS_PER_TARGET))
    releaseSlot(engine)
  })
})

const server = await serveHttp(app, { host: '127.0.0.1', port: 0 })
const { address, close } = server._unsafeUnwrap()
process.on('message', (message: ToProcess) => {
  if (message.type === 'stop') close().then(() => process.exit(0), () => process.exit(1))
})
process.send?.({ type: 'listening', address } satisfies FromProcess)
