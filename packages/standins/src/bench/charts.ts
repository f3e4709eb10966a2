/** Charts of a comparison outcome, as SVG. */
import { parse, View } from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import type { ComparisonOutcome, SideRun } from './comparison'

const CHART_WIDTH = 520
const BAR_STEP = 26
const SERIES_HEIGHT = 180
const MS_PER_SECOND = 1000

interface ValueRow {
  side: string
  value: number
}

interface SeriesRow {
  side: string
  second: number
  value: number
}

/** Renders a bar chart for each metric, and time series of the last repeat. */
export async function renderCharts (outcome: ComparisonOutcome): Promise<string[]> {
  const metrics = [...new Set(outcome.summaries.map((summary) => summary.metric))]
  const bars = metrics.map((metric) => createBarChart(outcome, metric)).filter((spec) => spec !== undefined)
  const lastRepeat = Math.max(...outcome.runs.map((run) => run.repeat))
  const runs = outcome.runs.filter((run) => run.repeat === lastRepeat)
  const series = [
    createSeriesChart('Whole live answers a second, by the second of sending', runs.flatMap(getCompleteSeries)),
    createSeriesChart('Longest time to first token, ms', runs.flatMap(getFirstTokenSeries)),
    createSeriesChart('Batch items with a result', runs.flatMap(getProgressSeries))
  ].filter((spec) => spec !== undefined)
  const svgs: string[] = []
  for (const spec of [...bars, ...series]) svgs.push(await renderSpec(spec))
  return svgs
}

function createBarChart (outcome: ComparisonOutcome, metric: string): TopLevelSpec | undefined {
  const values = outcome.runs.flatMap((run): ValueRow[] => {
    const value = run.values[metric]
    return value === undefined ? [] : [{ side: run.side, value }]
  })
  if (values.every(({ value }) => value === 0)) return undefined
  const unit = outcome.summaries.find((summary) => summary.metric === metric)!.unit
  const y = { field: 'side', type: 'nominal' as const, sort: null, title: null }
  return {
    title: metric,
    width: CHART_WIDTH,
    height: { step: BAR_STEP },
    data: { values },
    layer: [
      { mark: 'bar', encoding: { y, x: { aggregate: 'median', field: 'value', title: unit }, color: { value: '#9db8d9' } } },
      { mark: { type: 'point', filled: true }, encoding: { y, x: { field: 'value', type: 'quantitative' }, color: { value: '#1f3b63' } } }
    ]
  }
}

function createSeriesChart (title: string, values: SeriesRow[]): TopLevelSpec | undefined {
  if (values.length === 0) return undefined
  return {
    title,
    width: CHART_WIDTH,
    height: SERIES_HEIGHT,
    data: { values },
    mark: 'line',
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 'seconds from the start' },
      y: { field: 'value', type: 'quantitative', title: null },
      color: { field: 'side', type: 'nominal', sort: null, title: null }
    }
  }
}

function getCompleteSeries ({ side, run }: SideRun): SeriesRow[] {
  return (run.result.live?.series ?? []).map(({ second, whole }) => ({ side, second, value: whole }))
}

function getFirstTokenSeries ({ side, run }: SideRun): SeriesRow[] {
  const series = run.result.live?.series ?? []
  return series.map(({ second, maxFirstTokenMs }) => ({ side, second, value: maxFirstTokenMs }))
}

function getProgressSeries ({ side, run }: SideRun): SeriesRow[] {
  const progress = run.result.batch?.progress ?? []
  return progress.map(({ atMs, finished }) => ({ side, second: atMs / MS_PER_SECOND, value: finished }))
}

async function renderSpec (spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' })
  return await view.toSVG()
}
