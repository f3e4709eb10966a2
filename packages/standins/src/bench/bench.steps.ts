import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import { experiment } from '../load'
import { findSummary, summarizeRuns, type Comparison, type ComparisonOutcome, type SideRun } from './comparison'
import { renderReport } from './report'

interface BenchWorld {
  outcome: ComparisonOutcome
}

const MAX_RATIO = 1.05

const load = experiment.parse({ name: 'x', model: 'm', durationMs: 1, accounts: { count: 1 } })

const comparison: Comparison = {
  name: 'x',
  title: 'X',
  sides: ['before', 'after'].map((name) => ({ name, plan: {}, experiment: () => load })),
  metrics: [{ name: 'time', unit: 'ms', better: 'lower', compute: () => undefined }],
  goals: [{
    text: 'No slower',
    isMet: (outcome) => findSummary(outcome, 'after', 'time')!.ratio!.median <= MAX_RATIO
  }]
}

function sideRun (side: string, repeat: number, time: number): SideRun {
  const platform = { calls: {}, watches: 0, bytes: 0, rejected: 0 }
  const run = { result: { experiment: load, startedAt: '' }, elapsedMs: 1, usage: {}, platform, loadAverage: 1 }
  return { side, repeat, seed: repeat, values: { time }, run }
}

Given(/^a benchmark comparison whose sides measured ([\d, ]+) and ([\d, ]+)$/,
  function (this: BenchWorld, before: string, after: string) {
    const runs = [['before', before], ['after', after]].flatMap(([side, times]) =>
      times!.split(', ').map((time, repeat) => sideRun(side!, repeat, Number(time))))
    this.outcome = summarizeRuns(comparison, runs)
  })

Then('the benchmark reports the ratio {float} between {float} and {float}',
  function (this: BenchWorld, median: number, min: number, max: number) {
    assert.deepEqual(findSummary(this.outcome, 'after', 'time')?.ratio, { median, min, max, count: 3 })
  })

Then('the benchmark page says that its goal was missed, and has a plot', async function (this: BenchWorld) {
  const page = await renderReport({ commit: 'c', startedAt: '', repeats: 3, isQuick: true }, [this.outcome])
  assert.match(page, /No slower: <span class="missed">missed/)
  assert.match(page, /<svg /)
})
