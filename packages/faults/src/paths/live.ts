/** The live path: a request waits for a slot, then for its first token, and then streams. */
import assert from 'node:assert/strict'
import { computeAnswer, type LiveResponse } from '@pimentoplank/standins'
import { runCli } from '../cli'
import { MAX_WAIT_MS, ENGINE_SLOTS, MODEL, type FaultTestbed } from '../deploy'
import { findRunningEngine, getEngineRuns, setEngineFaults } from '../faultInjectors'
import { waitFor } from '../waitFor'
import { reachStep, type HeldStep, type PathRun } from './types'

const REQUESTS = 6
const MAX_TOKENS = 12
const STREAMED_TOKENS = 4
/** Slow enough that streams stay open, but below the token gap time-out. */
const SLOW_TOKEN_MS = 400
const FAST_TOKEN_MS = 5
/** Number of requests per slot of the deployment. */
const FILL_FACTOR = 2
const REQUEST_TIMEOUT_MS = 60_000
/** Faults that end the instance a caller is connected to; its response may be cut, but must not look complete. */
const CUTTING_FAULTS = new Set([
  'kill carrier', 'kill and restart carrier', 'kill target and carrier', 'kill carrier and platform down'
])

interface SentRequest {
  prompt: string
  answer: Promise<LiveResponse>
}

/** Creates a run of the path. */
export function createLivePath (testbed: FaultTestbed): PathRun {
  const carrier = 'entry-1'
  const sent: SentRequest[] = []
  let first: LiveResponse[] = []
  let final: Array<{ prompt: string, answer: LiveResponse }> = []

  function send (prompt: string): void {
    const address = testbed.process(carrier).listening.address
    const req = { model: MODEL, prompt, maxTokens: MAX_TOKENS, timeoutMs: REQUEST_TIMEOUT_MS, address }
    sent.push({ prompt, answer: testbed.live.chat(req) })
  }

  async function holdAt (tokens: number): Promise<HeldStep> {
    await setEngineFaults(testbed, { holdAfterTokens: tokens })
    for (let index = 0; index < REQUESTS; index++) send(`Question ${index}?`)
    const target = await findRunningEngine(testbed, (content) => content.includes('Question 0?'))
    await waitFor('each request to be held', async () => {
      const runs = (await getEngineRuns(testbed)).filter((run) => run.content.includes('Question'))
      return runs.filter((run) => run.tokens >= tokens).length >= REQUESTS || undefined
    }, MAX_WAIT_MS)
    return { carrier, target, resume: async () => await setEngineFaults(testbed, { holdAfterTokens: null }) }
  }

  /** Sends more slow streams than there are slots, so that requests queue at the owners of the targets. */
  async function reachQueued (): Promise<HeldStep> {
    await setEngineFaults(testbed, { tokenMs: SLOW_TOKEN_MS })
    const count = FILL_FACTOR * ENGINE_SLOTS * testbed.engines.length
    for (let index = 0; index < count; index++) send(`Question ${index}?`)
    await waitFor('a request to wait for a slot', async () => await countWaiting(testbed) > 0 || undefined, MAX_WAIT_MS)
    const target = await findRunningEngine(testbed, (content) => content.includes('Question'))
    return { carrier, target, resume: async () => await setEngineFaults(testbed, { tokenMs: FAST_TOKEN_MS }) }
  }

  const steps = {
    queued: reachQueued,
    'first token': async () => await holdAt(0),
    streaming: async () => await holdAt(STREAMED_TOKENS)
  }

  /** Resends a request, as callers do, until its response is complete. */
  async function getCompleteAnswer (
    { prompt, answer }: SentRequest
  ): Promise<{ prompt: string, answer: LiveResponse }> {
    const firstAnswer = await answer
    if (firstAnswer.isComplete) return { prompt, answer: firstAnswer }
    const whole = await waitFor(`a complete response to ${prompt}`, async () => {
      const next = await testbed.live.chat({
        model: MODEL, prompt, maxTokens: MAX_TOKENS, timeoutMs: REQUEST_TIMEOUT_MS
      })
      return next.isComplete ? next : undefined
    }, MAX_WAIT_MS)
    return { prompt, answer: whole }
  }

  async function finish (): Promise<void> {
    first = await Promise.all(sent.map(async ({ answer }) => await answer))
    final = await Promise.all(sent.map(getCompleteAnswer))
  }

  async function check (fault: string): Promise<void> {
    for (const { prompt, answer } of final) assert.equal(answer.text, computeAnswer(prompt, MAX_TOKENS))
    for (const [index, answer] of first.entries()) {
      const expected = computeAnswer(sent[index]!.prompt, MAX_TOKENS)
      assert.ok(expected.startsWith(answer.text), 'a response contains text that its request does not produce')
    }
    const incomplete = first.filter((answer) => !answer.isComplete)
    if (!CUTTING_FAULTS.has(fault)) assert.deepEqual(incomplete.map(describeResponse), [])
    await assertNotRun(first.filter((answer) => answer.outcome === 'not_run'))
  }

  async function assertNotRun (refused: LiveResponse[]): Promise<void> {
    const ran = new Set((await getEngineRuns(testbed)).map((run) => run.requestId))
    for (const { requestId } of refused) assert.ok(!ran.has(requestId), `${requestId} ran although refused as not run`)
  }

  return { reach: async (step) => await reachStep(steps, step), finish, check }
}

/** Counts the requests that wait for a slot, as reported by the entry instances. */
async function countWaiting (testbed: FaultTestbed): Promise<number> {
  const { stdout } = await runCli(testbed, ['status', '--json'])
  const { instances } = JSON.parse(stdout) as { instances: Array<{ gauges?: Record<string, number> }> }
  return instances.reduce((sum, { gauges }) => sum + (gauges?.['slots.waiting'] ?? 0), 0)
}

function describeResponse ({ status, reason, outcome, failure, tokens }: LiveResponse): string {
  return [status, reason, outcome, failure, `${tokens} tokens`].join(' ')
}
