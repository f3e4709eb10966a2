/** Generates the live requests of an experiment ahead of time: open-loop load that does not depend on the responses. */
import { getAccountKeys, type Experiment, type LiveLoad } from './experiment'
import { createRandom, createZipf, type Random } from './random'

const MS_PER_SECOND = 1000

export interface Arrival {
  /** Intended send time, from the start of the experiment. */
  atMs: number
  /** Index of the account. */
  account: number
  prompt: string
  maxTokens: number
}

interface RatePhase {
  untilMs: number
  ratePerSecond: number
}

/** Generates all arrivals, in order of time. The same seed gives the same arrivals. */
export function generateArrivals (experiment: Experiment): Arrival[] {
  const { live, seed } = experiment
  if (live === undefined) return []
  const pickAccount = createZipf(
    createRandom(seed, 'accounts'), getAccountKeys(experiment).length, experiment.accounts.skew
  )
  const pickPrefix = createZipf(createRandom(seed, 'prefixes'), live.promptPrefixes, live.prefixSkew)
  const content = createRandom(seed, 'content')
  const prefixes = generatePrefixes(seed, 'live', live.promptPrefixes, live.prefixChars)
  const times = drawTimes(live, experiment.durationMs, createRandom(seed, 'times'))
  return times.map((atMs, index) => ({
    atMs,
    account: pickAccount(),
    prompt: `${prefixes[pickPrefix()]}Question ${index}: ${drawText(content, live.promptChars)}`,
    maxTokens: content.int(live.minTokens, Math.max(live.minTokens, live.maxTokens))
  }))
}

function drawTimes (live: LiveLoad, durationMs: number, random: Random): number[] {
  const times: number[] = []
  let phaseStart = 0
  for (const { untilMs, ratePerSecond } of drawPhases(live, durationMs, random)) {
    if (ratePerSecond > 0) times.push(...drawPoisson(random, phaseStart, untilMs, MS_PER_SECOND / ratePerSecond))
    phaseStart = untilMs
  }
  return times
}

function drawPoisson (random: Random, fromMs: number, untilMs: number, meanMs: number): number[] {
  const times: number[] = []
  for (let atMs = fromMs + random.exponential(meanMs); atMs < untilMs; atMs += random.exponential(meanMs)) {
    times.push(atMs)
  }
  return times
}

function drawPhases (live: LiveLoad, durationMs: number, random: Random): RatePhase[] {
  const totalMs = live.phases.reduce((sum, { ms }) => sum + ms, 0)
  if (totalMs === 0) return [{ untilMs: durationMs, ratePerSecond: live.ratePerSecond }]
  const phases: RatePhase[] = []
  for (let index = 0, untilMs = 0; untilMs < durationMs; index++) {
    const { ms, factor } = live.phases[index % live.phases.length]!
    const jitter = 1 + live.phaseJitter * (2 * random.float() - 1)
    untilMs = Math.min(durationMs, untilMs + Math.max(1, ms * jitter))
    phases.push({ untilMs, ratePerSecond: live.ratePerSecond * factor })
  }
  return phases
}

/** Generates the prefixes that prompts share. */
export function generatePrefixes (seed: number, purpose: string, count: number, chars: number): string[] {
  const random = createRandom(seed, `prefix/${purpose}`)
  return Array.from({ length: count }, () => drawText(random, chars))
}

const LETTERS = 'abcdefghijklmnopqrstuvwxyz '

function drawText (random: Random, chars: number): string {
  return Array.from({ length: chars }, () => LETTERS[random.int(0, LETTERS.length - 1)]!).join('')
}
