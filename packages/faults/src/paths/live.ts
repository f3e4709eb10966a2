/** The live path: a request waits for a slot, for its first token, and streams. */
import assert from 'node:assert/strict'
import { expectedAnswer, type LiveAnswer } from '@pimentoplank/standins'
import { runCli } from '../cli'
import { BOUND_MS, ENGINE_SLOTS, MODEL, type FaultBed } from '../deploy'
import { engineRunning, engineRuns, setEngines } from '../strikes'
import { until } from '../until'
import { reachFrom, type Moment, type PathRun } from './types'

const REQUESTS = 6
const MAX_TOKENS = 12
const STREAMED_TOKENS = 4
/** Slow enough that streams stay, and below the silence after which a stream is given up. */
const SLOW_TOKEN_MS = 400
const FAST_TOKEN_MS = 5
/** Requests for each slot of the fleet. */
const FILL_FACTOR = 2
const REQUEST_TIMEOUT_MS = 60_000
/** Faults that end the instance that a caller is connected to: an answer may be cut, and is not shown as whole. */
const CUTTING = new Set([
  'kill carrier', 'kill and restart carrier', 'kill target and carrier', 'kill carrier and platform down'
])

interface Sent {
  prompt: string
  answer: Promise<LiveAnswer>
}

/** Creates a run of the path. */
export function createLivePath (bed: FaultBed): PathRun {
  const carrier = 'entry-1'
  const sent: Sent[] = []
  let first: LiveAnswer[] = []
  let final: Array<{ prompt: string, answer: LiveAnswer }> = []

  function send (prompt: string): void {
    const address = bed.process(carrier).listening.address
    const req = { model: MODEL, prompt, maxTokens: MAX_TOKENS, timeoutMs: REQUEST_TIMEOUT_MS, address }
    sent.push({ prompt, answer: bed.live.chat(req) })
  }

  async function holdAt (tokens: number): Promise<Moment> {
    await setEngines(bed, { holdAfterTokens: tokens })
    for (let index = 0; index < REQUESTS; index++) send(`Question ${index}?`)
    const target = await engineRunning(bed, (content) => content.includes('Question 0?'))
    await until('each request to be held', async () => {
      const runs = (await engineRuns(bed)).filter((run) => run.content.includes('Question'))
      return runs.filter((run) => run.tokens >= tokens).length >= REQUESTS || undefined
    }, BOUND_MS)
    return { carrier, target, resume: async () => await setEngines(bed, { holdAfterTokens: null }) }
  }

  /** Sends more slow streams than there are slots, so that requests wait at homes. */
  async function reachQueued (): Promise<Moment> {
    await setEngines(bed, { tokenMs: SLOW_TOKEN_MS })
    const count = FILL_FACTOR * ENGINE_SLOTS * bed.engines.length
    for (let index = 0; index < count; index++) send(`Question ${index}?`)
    await until('a request to wait at a home', async () => await waitingAtHomes(bed) > 0 || undefined, BOUND_MS)
    const target = await engineRunning(bed, (content) => content.includes('Question'))
    return { carrier, target, resume: async () => await setEngines(bed, { tokenMs: FAST_TOKEN_MS }) }
  }

  const steps = {
    queued: reachQueued,
    'first token': async () => await holdAt(0),
    streaming: async () => await holdAt(STREAMED_TOKENS)
  }

  /** Sends again, as callers do, until the answer is whole. */
  async function answerOf ({ prompt, answer }: Sent): Promise<{ prompt: string, answer: LiveAnswer }> {
    const firstAnswer = await answer
    if (firstAnswer.whole) return { prompt, answer: firstAnswer }
    const whole = await until(`a whole answer to ${prompt}`, async () => {
      const next = await bed.live.chat({ model: MODEL, prompt, maxTokens: MAX_TOKENS, timeoutMs: REQUEST_TIMEOUT_MS })
      return next.whole ? next : undefined
    }, BOUND_MS)
    return { prompt, answer: whole }
  }

  async function finish (): Promise<void> {
    first = await Promise.all(sent.map(async ({ answer }) => await answer))
    final = await Promise.all(sent.map(answerOf))
  }

  async function check (strike: string): Promise<void> {
    for (const { prompt, answer } of final) assert.equal(answer.text, expectedAnswer(prompt, MAX_TOKENS))
    for (const [index, answer] of first.entries()) {
      const expected = expectedAnswer(sent[index]!.prompt, MAX_TOKENS)
      assert.ok(expected.startsWith(answer.text), 'an answer holds what its request did not ask for')
    }
    const notWhole = first.filter((answer) => !answer.whole)
    if (!CUTTING.has(strike)) assert.deepEqual(notWhole.map(describeAnswer), [])
    await assertNotRun(first.filter((answer) => answer.outcome === 'not_run'))
  }

  async function assertNotRun (refused: LiveAnswer[]): Promise<void> {
    const ran = new Set((await engineRuns(bed)).map((run) => run.requestId))
    for (const { requestId } of refused) assert.ok(!ran.has(requestId), `${requestId} ran although refused as not run`)
  }

  return { reach: async (step) => await reachFrom(steps, step), finish, check }
}

/** Requests that wait for a slot, as the entry instances report it. */
async function waitingAtHomes (bed: FaultBed): Promise<number> {
  const { stdout } = await runCli(bed, ['status', '--json'])
  const { instances } = JSON.parse(stdout) as { instances: Array<{ gauges?: Record<string, number> }> }
  return instances.reduce((sum, { gauges }) => sum + (gauges?.['slots.waiting'] ?? 0), 0)
}

function describeAnswer ({ status, reason, outcome, failure, tokens }: LiveAnswer): string {
  return [status, reason, outcome, failure, `${tokens} tokens`].join(' ')
}
