/** Runs a comparison: its sides take turns over several repeats, and their metrics are compared. */
import type { Experiment } from '../load'
import { startBenchDeployment, type BenchDeployment, type MeasuredRun } from './benchDeployment'
import type { BenchPlanOptions } from './benchPlan'
import { summarize, type Summary } from './statistics'

export interface Side {
  name: string
  /** Options of the deployment to run on; sides with equal options share one deployment. */
  plan: BenchPlanOptions
  /** Returns the experiment for one repeat. */
  experiment: (seed: number) => Experiment
  /** Runs directly against the engines, bypassing the system. */
  direct?: boolean
  /** Injects a disturbance; called when a run starts. */
  during?: (bench: BenchDeployment) => Promise<void>
}

export interface Metric {
  name: string
  unit: string
  /** Whether lower or higher values are better. */
  better: 'lower' | 'higher'
  /** Returns the value for a run; undefined when the run has none. */
  compute: (run: MeasuredRun, side: Side) => number | undefined
}

/** A performance goal; the report states whether it was met. */
export interface Goal {
  text: string
  /** Returns whether the goal is met; undefined when it could not be measured. */
  isMet: (outcome: ComparisonOutcome) => boolean | undefined
}

export interface Comparison {
  name: string
  title: string
  /** The first side is the baseline. */
  sides: Side[]
  metrics: Metric[]
  goals: Goal[]
}

export interface SideRun {
  side: string
  repeat: number
  seed: number
  values: Record<string, number | undefined>
  run: MeasuredRun
}

export interface SideSummary {
  side: string
  metric: string
  unit: string
  value: Summary
  /** Ratio to the baseline, paired by repeat; absent for the baseline itself. */
  ratio?: Summary
}

export interface ComparisonOutcome {
  name: string
  title: string
  runs: SideRun[]
  summaries: SideSummary[]
  goals: Array<{ text: string, isMet: boolean | undefined }>
}

export interface RunComparisonOptions {
  repeats: number
  folder: string
  commit?: string
  log: (line: string) => void
}

const FIRST_SEED = 1

/** Runs the sides in turn, in reverse order on every other repeat, so that drift does not favor one side. */
export async function runComparison (
  comparison: Comparison,
  options: RunComparisonOptions
): Promise<ComparisonOutcome> {
  const deployments = await startDeployments(comparison, options)
  try {
    const runs: SideRun[] = []
    for (let repeat = 0; repeat < options.repeats; repeat++) {
      const order = repeat % 2 === 0 ? comparison.sides : comparison.sides.toReversed()
      for (const side of order) {
        const bench = deployments.get(getPlanKey(side))!
        runs.push(await runSide(comparison, side, repeat, bench, options))
      }
    }
    return summarizeRuns(comparison, runs)
  } finally {
    for (const bench of deployments.values()) await bench.stop()
  }
}

async function startDeployments (
  comparison: Comparison,
  options: RunComparisonOptions
): Promise<Map<string, BenchDeployment>> {
  const deployments = new Map<string, BenchDeployment>()
  for (const side of comparison.sides) {
    const key = getPlanKey(side)
    if (deployments.has(key)) continue
    const name = `${comparison.name}-${deployments.size + 1}`
    try {
      deployments.set(key, await startBenchDeployment(name, options.folder, side.plan, options.commit))
    } catch (cause) {
      for (const bench of deployments.values()) await bench.stop()
      throw cause
    }
  }
  return deployments
}

function getPlanKey (side: Side): string {
  return JSON.stringify(side.plan)
}

async function runSide (
  comparison: Comparison,
  side: Side,
  repeat: number,
  bench: BenchDeployment,
  options: RunComparisonOptions
): Promise<SideRun> {
  const seed = FIRST_SEED + repeat
  const experiment = side.experiment(seed)
  const run = side.direct === true
    ? await bench.measureDirect(experiment)
    : await bench.measure(experiment, side.during)
  await bench.repair()
  const values = Object.fromEntries(comparison.metrics.map((metric) => [metric.name, metric.compute(run, side)]))
  options.log(`${comparison.name} / ${side.name} / repeat ${repeat + 1}: ${describeValues(values)}`)
  return { side: side.name, repeat, seed, values, run }
}

function describeValues (values: SideRun['values']): string {
  return Object.entries(values).map(([name, value]) => `${name} ${value?.toFixed(2) ?? 'none'}`).join(', ')
}

/** Summarizes each metric for each side and evaluates the goals. */
export function summarizeRuns (comparison: Comparison, runs: SideRun[]): ComparisonOutcome {
  const summaries = comparison.sides.flatMap((side) => comparison.metrics.flatMap((metric) => {
    const summary = summarizeMetric(comparison, runs, side, metric)
    return summary === undefined ? [] : [summary]
  }))
  const outcome: ComparisonOutcome = { name: comparison.name, title: comparison.title, runs, summaries, goals: [] }
  outcome.goals = comparison.goals.map((goal) => ({ text: goal.text, isMet: goal.isMet(outcome) }))
  return outcome
}

function summarizeMetric (
  comparison: Comparison,
  runs: readonly SideRun[],
  side: Side,
  metric: Metric
): SideSummary | undefined {
  const baseline = comparison.sides[0]!.name
  const findValue = (sideName: string, repeat: number): number | undefined =>
    runs.find((run) => run.side === sideName && run.repeat === repeat)?.values[metric.name]
  const own = runs.filter((run) => run.side === side.name)
  const value = summarize(own.map((run) => run.values[metric.name]))
  if (value === undefined) return undefined
  const ratio = side.name === baseline
    ? undefined
    : summarize(own.map((run) => divide(run.values[metric.name], findValue(baseline, run.repeat))))
  return { side: side.name, metric: metric.name, unit: metric.unit, value, ratio }
}

function divide (value: number | undefined, by: number | undefined): number | undefined {
  return value === undefined || by === undefined || by === 0 ? undefined : value / by
}

/** Finds the summary of one metric of one side. */
export function findSummary (outcome: ComparisonOutcome, side: string, metric: string): SideSummary | undefined {
  return outcome.summaries.find((summary) => summary.side === side && summary.metric === metric)
}
