import { execFile } from 'node:child_process'
import { mkdir, writeFile } from 'node:fs/promises'
import path from 'node:path'
import { promisify } from 'node:util'
import { array, command, flag, multioption, number, option, optional, string } from 'cmd-ts'
import { describeCause, EXIT_OK, EXIT_FAILED, EXIT_USAGE, runProgram, VERSION } from 'pimentoplank/shared'
import { runComparison, type ComparisonOutcome } from './comparison'
import { COMPARISONS, QUICK_COMPARISONS } from './comparisons'
import { formatSummary, renderReport } from './report'

const FULL = { repeats: 5, durationMs: 12_000 }
const QUICK = { repeats: 1, durationMs: 3000 }

interface BenchArguments {
  quick: boolean
  only: string[]
  repeats?: number
  out: string
}

await runProgram(command({
  name: 'bench',
  version: VERSION,
  description: 'Starts deployments, measures the sides of each comparison in turn, and writes a report.',
  args: {
    quick: flag({ long: 'quick', description: 'Run a few short comparisons, within a minute.' }),
    only: multioption({ type: array(string), long: 'only', description: 'Comparison to run; repeatable.' }),
    repeats: option({ type: optional(number), long: 'repeats', description: 'Runs of each side.' }),
    out: option({ type: string, long: 'out', defaultValue: () => 'reports/bench', description: 'Folder of the report.' })
  },
  handler: async (args) => { process.exitCode = await runBenchmark(args) }
}))

async function runBenchmark (args: BenchArguments): Promise<number> {
  const names = args.only.length > 0 ? args.only : args.quick ? QUICK_COMPARISONS : Object.keys(COMPARISONS)
  const unknown = names.filter((name) => COMPARISONS[name] === undefined)
  if (unknown.length > 0) {
    console.error(`unknown comparison: ${unknown.join(', ')}; expected one of ${Object.keys(COMPARISONS).join(', ')}`)
    return EXIT_USAGE
  }
  const scale = args.quick ? QUICK : FULL
  const repeats = args.repeats ?? scale.repeats
  const header = { commit: await readCommit(), startedAt: new Date().toISOString(), repeats, isQuick: args.quick }
  await mkdir(args.out, { recursive: true })
  const outcomes: ComparisonOutcome[] = []
  const failed: string[] = []
  for (const name of names) {
    const comparison = COMPARISONS[name]!({ durationMs: scale.durationMs })
    try {
      const options = { repeats, folder: args.out, commit: header.commit, log: console.log }
      const outcome = await runComparison(comparison, options)
      outcomes.push(outcome)
      await writeFile(path.join(args.out, `${outcome.name}.json`), JSON.stringify({ ...header, ...outcome }, null, 2))
      printOutcome(outcome)
    } catch (cause) {
      failed.push(name)
      console.error(`comparison ${name} failed: ${describeCause(cause)}`)
    }
  }
  const page = path.join(args.out, 'report.html')
  await writeFile(page, await renderReport(header, outcomes))
  console.log(`Report: ${page}`)
  if (failed.length > 0) console.error(`Not measured: ${failed.join(', ')}`)
  return failed.length === 0 ? EXIT_OK : EXIT_FAILED
}

function printOutcome (outcome: ComparisonOutcome): void {
  const highest = Math.max(...outcome.runs.map(({ run }) => run.loadAverage))
  console.log(`\n${outcome.title}   (load average up to ${highest.toFixed(1)})`)
  for (const { side, metric, unit, value, ratio } of outcome.summaries) {
    const ratioText = ratio === undefined ? '' : `   ratio ${formatSummary(ratio)}`
    console.log(`  ${metric.padEnd(24)} ${side.padEnd(34)} ${formatSummary(value)} ${unit}${ratioText}`)
  }
  for (const { text, isMet } of outcome.goals) {
    console.log(`  ${isMet === undefined ? 'NOT MEASURED' : isMet ? 'met' : 'MISSED'}: ${text}`)
  }
  console.log('')
}

/** The commit of the working tree, marked when files differ from it. */
async function readCommit (): Promise<string> {
  const run = promisify(execFile)
  try {
    const { stdout } = await run('git', ['describe', '--always', '--dirty', '--abbrev=10'])
    return stdout.trim()
  } catch {
    return 'unknown'
  }
}
