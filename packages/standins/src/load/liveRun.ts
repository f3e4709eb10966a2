/** Sends each live request of an experiment at its intended time, whether or not earlier ones have completed. */
import type { Clock } from 'pimentoplank/shared'
import type { Caller } from '../caller'
import { computeAnswer } from '../engine'
import type { Arrival } from './arrivals'
import type { Experiment } from './experiment'
import { createLiveRecorder } from './recorder'
import type { LiveResult } from './result'

export interface LiveRunOptions {
  clock: Clock
  experiment: Experiment
  arrivals: readonly Arrival[]
  /** Callers, one per account, in the order of the accounts. */
  callers: readonly Caller[]
  /** Start of the experiment, on the clock. */
  startedAt: number
  signal?: AbortSignal
}

/** Sends every arrival and waits for all responses. */
export async function runLive (options: LiveRunOptions): Promise<LiveResult> {
  const { clock, experiment, startedAt } = options
  const recorder = createLiveRecorder(experiment.warmupMs)
  const running: Array<Promise<void>> = []
  for (const arrival of options.arrivals) {
    const waitMs = startedAt + arrival.atMs - clock.now()
    if (waitMs > 0) await clock.sleep(waitMs, options.signal)
    if (options.signal?.aborted === true) break
    running.push(sendArrival(arrival))
  }
  await Promise.all(running)

  async function sendArrival (arrival: Arrival): Promise<void> {
    const sendDelayMs = clock.now() - startedAt - arrival.atMs
    const response = await options.callers[arrival.account]!.chat({
      model: experiment.model,
      prompt: arrival.prompt,
      maxTokens: arrival.maxTokens,
      timeoutMs: experiment.live?.timeoutMs
    })
    const expected = computeAnswer(arrival.prompt, arrival.maxTokens)
    recorder.record({ intendedAtMs: arrival.atMs, sendDelayMs, expected }, response)
  }

  return recorder.getResult()
}
