/** Cost of live requests by rate and by response length: CPU time and control traffic. */
import { setTimeout as delay } from 'node:timers/promises'
import { experiment } from '../../load'
import { runExperiment } from '../../load/runExperiment'
import { KEY_PREFIX, MODEL } from '../../bench/benchPlan'
import { startCluster, type Cluster } from '../cluster'
import { sumCpuMs, sumPeerBytes, type Figures, type Point } from '../figures'
import type { Probe } from './types'

const ENTRIES = 4
const ENGINES = 6
const ACCOUNTS = 100
const FULL = { rates: [20, 60, 120], tokens: [8, 32, 128], durationMs: 5000, idleMs: 5000 }
const QUICK = { rates: [10, 20, 40], tokens: [8, 16, 32], durationMs: 3000, idleMs: 3000 }
const RATE_TOKENS = 16
const TOKENS_RATE = 30

/** Measures by requests per second, of 16 tokens each. */
export const liveRate: Probe = async ({ folder, isQuick }) => {
  const scale = isQuick ? QUICK : FULL
  const points = await measureAll('live-rate', folder, scale, scale.rates.map((rate) => ({ size: rate, rate, tokens: RATE_TOKENS })))
  return { size: 'live requests a second', points }
}

/** Measures by tokens per response, at 30 requests per second. */
export const liveTokens: Probe = async ({ folder, isQuick }) => {
  const scale = isQuick ? QUICK : FULL
  const points = await measureAll('live-tokens', folder, scale, scale.tokens.map((tokens) => ({ size: tokens, rate: TOKENS_RATE, tokens })))
  return { size: 'tokens of an answer', points }
}

interface LiveSize {
  size: number
  rate: number
  tokens: number
}

async function measureAll (name: string, folder: string, scale: typeof FULL, sizes: LiveSize[]): Promise<Point[]> {
  const cluster = await startCluster(name, folder, {
    entries: ENTRIES, domains: 2, engines: ENGINES, accounts: ACCOUNTS, tokenMs: 20
  })
  try {
    // Warms up JIT compilation and connections, so that measurements are those of a long-running process.
    await runLoad(cluster, { size: 0, rate: TOKENS_RATE, tokens: RATE_TOKENS }, scale.durationMs / 2)
    const idle = await cluster.measureDuring(async () => await delay(scale.idleMs))
    const points: Point[] = []
    for (const size of sizes) {
      let figures: Figures = {}
      const busy = await cluster.measureDuring(async () => { figures = await runLoad(cluster, size, scale.durationMs) })
      const computePerRequest = (value: number, idleValue: number): number =>
        (value - idleValue / idle.seconds * busy.seconds) / figures['answers whole']!
      points.push({
        size: size.size,
        figures: {
          ...figures,
          'processor ms a request': computePerRequest(sumCpuMs(busy, 'entry'), sumCpuMs(idle, 'entry')),
          'control bytes a request': computePerRequest(sumPeerBytes(busy), sumPeerBytes(idle))
        }
      })
    }
    return points
  } finally {
    await cluster.stop()
  }
}

async function runLoad (cluster: Cluster, { rate, tokens }: LiveSize, durationMs: number): Promise<Figures> {
  const { live } = await runExperiment({
    entries: cluster.deployment.entryAddresses(),
    experiment: experiment.parse({
      name: 'capacity',
      model: MODEL,
      durationMs,
      accounts: { count: ACCOUNTS, keyPrefix: KEY_PREFIX },
      live: { ratePerSecond: rate, minTokens: tokens, maxTokens: tokens, timeoutMs: 20_000 }
    })
  })
  return { 'requests sent': live!.sent, 'answers whole': live!.whole }
}
