/** Prints the results of the demo and reports problems in them. */
import type { JobResult } from '../caller'
import type { DemoOutcome } from './runDemo'
import type { LiveStatistics } from './liveStatistics'

const TAIL_PERCENTILE = 99
const MEDIAN = 50

/** Prints the report. Returns the problems found. */
export function printReport (outcome: DemoOutcome): string[] {
  const counts = countResults(outcome.results)
  console.log([
    '',
    'Live requests             answers   whole   first token p50/p99 ms   token gap p50/p99 ms',
    formatLiveLine('alone', outcome.liveAlone),
    formatLiveLine('beside the batch job', outcome.liveBeside),
    `Refusals by reason:       ${formatRefusals(outcome)}`,
    `Batch job:                ${outcome.submitted.length} items in ${outcome.jobMs} ms, state ${outcome.job.state}, ${JSON.stringify(outcome.job.counts)}`,
    `Results:                  ${outcome.results.length} lines, ${counts.size} different ids`
  ].join('\n'))
  return findProblems(outcome, counts)
}

function formatLiveLine (name: string, statistics: LiveStatistics): string {
  const firstToken = `${statistics.getFirstTokenMs(MEDIAN).toFixed(1)} / ${statistics.getFirstTokenMs(TAIL_PERCENTILE).toFixed(1)}`
  const tokenGap = `${statistics.getTokenGapMs(MEDIAN).toFixed(1)} / ${statistics.getTokenGapMs(TAIL_PERCENTILE).toFixed(1)}`
  return `  ${name.padEnd(24)}${String(statistics.countResponses()).padStart(7)} ${String(statistics.countComplete()).padStart(7)}   ${firstToken.padEnd(24)} ${tokenGap}`
}

function formatRefusals (outcome: DemoOutcome): string {
  const all = [...outcome.liveAlone.getFailures(), ...outcome.liveBeside.getFailures()]
  return all.length === 0 ? 'none' : all.map(([reason, count]) => `${reason} ${count}`).join(', ')
}

function countResults (results: JobResult[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const result of results) counts.set(result.id, (counts.get(result.id) ?? 0) + 1)
  return counts
}

function findProblems (outcome: DemoOutcome, counts: Map<string, number>): string[] {
  const lost = outcome.submitted.filter((id) => !counts.has(id))
  const doubled = [...counts].filter(([, count]) => count > 1).map(([id]) => id)
  const notDone = outcome.results.filter((result) => result.status !== 'done')
  return [
    ...describeProblem('items without a result', lost),
    ...describeProblem('items with more than one result', doubled),
    ...describeProblem('items that are not done', notDone.map((result) => result.id)),
    ...describeProblem('live requests without a complete response', [...outcome.liveAlone.getFailures().keys(), ...outcome.liveBeside.getFailures().keys()])
  ]
}

function describeProblem (what: string, ids: string[]): string[] {
  return ids.length === 0 ? [] : [`${ids.length} ${what}: ${ids.slice(0, 5).join(', ')}`]
}
