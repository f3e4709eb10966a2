/** Renders the outcomes as one HTML page with charts. */
import { availableParallelism } from 'node:os'
import { renderCharts } from './charts'
import type { ComparisonOutcome, SideSummary } from './comparison'
import type { Summary } from './statistics'

export interface ReportHeader {
  commit: string
  startedAt: string
  repeats: number
  isQuick: boolean
}

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1100px; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
th, td { border-bottom: 1px solid #ddd; padding: 4px 12px 4px 0; text-align: left }
td.number { text-align: right; font-variant-numeric: tabular-nums }
.met { color: #176f2c } .missed { color: #a40e26; font-weight: 600 } .unmeasured { color: #777 }
`

/** Renders the page. */
export async function renderReport (header: ReportHeader, outcomes: readonly ComparisonOutcome[]): Promise<string> {
  const sections: string[] = []
  for (const outcome of outcomes) sections.push(await renderSection(outcome))
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>pimentoplank benchmark</title><style>${STYLE}</style></head><body>
<h1>pimentoplank benchmark</h1>
<p>Commit ${escapeHtml(header.commit)}, ${escapeHtml(header.startedAt)}, ${header.repeats} repeats of each side${header.isQuick ? ', quick run' : ''}.
Values are medians over the repeats with the lowest and the highest in brackets; ratios are paired by repeat.</p>
${sections.join('\n')}
</body></html>
`
}

async function renderSection (outcome: ComparisonOutcome): Promise<string> {
  const charts = await renderCharts(outcome)
  return `<section><h2>${escapeHtml(outcome.title)}</h2>
${renderLoadAverage(outcome)}
${renderGoals(outcome)}
${renderTable(outcome)}
${charts.join('\n')}
</section>`
}

function renderLoadAverage (outcome: ComparisonOutcome): string {
  const highest = Math.max(...outcome.runs.map(({ run }) => run.loadAverage))
  return `<p>Highest load average of the machine: ${formatValue(highest)} on ${availableParallelism()} processors.</p>`
}

function renderGoals (outcome: ComparisonOutcome): string {
  if (outcome.goals.length === 0) return ''
  const items = outcome.goals.map((goal) => {
    const state = goal.isMet === undefined ? 'unmeasured' : goal.isMet ? 'met' : 'missed'
    return `<li>${escapeHtml(goal.text)}: <span class="${state}">${state === 'unmeasured' ? 'not measured' : state}</span></li>`
  })
  return `<ul>${items.join('')}</ul>`
}

function renderTable (outcome: ComparisonOutcome): string {
  const rows = outcome.summaries.map((summary) => `<tr><td>${escapeHtml(summary.metric)}</td><td>${escapeHtml(summary.side)}</td>
<td class="number">${formatSummary(summary.value)} ${escapeHtml(summary.unit)}</td><td class="number">${formatRatio(summary)}</td></tr>`)
  const byMetric = rows.toSorted()
  return `<table><tr><th>figure</th><th>side</th><th>value</th><th>ratio to the first side</th></tr>${byMetric.join('')}</table>`
}

function formatRatio ({ ratio }: SideSummary): string {
  return ratio === undefined ? '' : formatSummary(ratio)
}

/** Formats a median with its range. */
export function formatSummary ({ median, min, max }: Summary): string {
  return `${formatValue(median)} [${formatValue(min)}–${formatValue(max)}]`
}

function formatValue (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2)
}

function escapeHtml (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;')
}
