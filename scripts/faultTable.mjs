// Prints the fault matrix of a run: for each path, a table of faults and steps with the result of each scenario.
import { readScenarios } from './scenarios.mjs'

const [file] = process.argv.slice(2)
const NAME = /^(\w+): (.+) at (.+)$/

const paths = new Map()
for (const { name, ok } of readScenarios(file)) {
  const [, path, fault, step] = NAME.exec(name) ?? []
  if (path === undefined) continue
  const cells = paths.get(path) ?? new Map()
  paths.set(path, cells)
  cells.set(`${fault}\u0000${step}`, ok ? 'passed' : 'FAILED')
}

for (const [path, cells] of paths) {
  const keys = [...cells.keys()].map((key) => key.split('\u0000'))
  const faults = [...new Set(keys.map(([fault]) => fault))]
  const steps = [...new Set(keys.map(([, step]) => step))]
  const rows = faults.map((fault) => [fault, ...steps.map((step) => cells.get(`${fault}\u0000${step}`) ?? '-')])
  console.log(`\n${path} path ("-": not run)\n`)
  console.log(`| fault | ${steps.join(' | ')} |`)
  console.log(`| --- |${' --- |'.repeat(steps.length)}`)
  for (const row of rows) console.log(`| ${row.join(' | ')} |`)
}
