import { mkdir, writeFile } from 'node:fs/promises'
import { cpus, loadavg } from 'node:os'
import path from 'node:path'
import { array, command, flag, multioption, option, optional, string } from 'cmd-ts'
import { describeCause, EXIT_OK, EXIT_FAILED, EXIT_USAGE, runProgram, SECOND_MS, VERSION } from 'pimentoplank/shared'
import type { Point } from './figures'
import { PROBES, STAGES, type ProbeContext, type ProbeResult } from './probes'
import { fitLine, type Line } from './linearFit'

interface CapacityArguments {
  quick: boolean
  only: string[]
  out: string
  results?: string
}

interface MeasuredProbe extends ProbeResult {
  /** Linear fits of the figures that every size has. */
  lines: Record<string, Line>
  /** One-minute load averages at the start and the end of the probe. */
  loadAverage: number[]
}

const DIGITS = 5

await runProgram(command({
  name: 'capacity',
  version: VERSION,
  description: 'Measures the cost of instances, targets, accounts, jobs, requests and items, at several sizes each.',
  args: {
    quick: flag({ long: 'quick', description: 'Use smaller sizes and shorter measurements.' }),
    only: multioption({ type: array(string), long: 'only', description: 'Probe to run; repeatable.' }),
    out: option({ type: string, long: 'out', defaultValue: () => 'reports/capacity', description: 'Folder for logs and results.' }),
    results: option({ type: optional(string), long: 'results', description: 'Additional file for the results.' })
  },
  handler: async (args) => { process.exitCode = await measureCapacity(args) }
}))

async function measureCapacity (args: CapacityArguments): Promise<number> {
  const unknown = args.only.filter((name) => PROBES[name] === undefined)
  if (unknown.length > 0) {
    console.error(`unknown probe: ${unknown.join(', ')}; expected one of ${Object.keys(PROBES).join(', ')}`)
    return EXIT_USAGE
  }
  await mkdir(args.out, { recursive: true })
  const startedAt = performance.now()
  const log = (line: string): void => console.log(`${((performance.now() - startedAt) / SECOND_MS).toFixed(0)} s  ${line}`)
  const context: ProbeContext = { folder: args.out, isQuick: args.quick, log }
  const probes: Record<string, MeasuredProbe> = {}
  const failed: string[] = []

  async function runLane (names: readonly string[]): Promise<void> {
    for (const name of names.filter((each) => args.only.length === 0 || args.only.includes(each))) {
      try {
        probes[name] = await measureProbe(name, context)
        await writeFile(path.join(args.out, `${name}.json`), toJson(probes[name]))
      } catch (cause) {
        failed.push(name)
        log(`probe ${name} failed: ${describeCause(cause)}`)
      }
    }
  }

  for (const lanes of STAGES) await Promise.all(lanes.map(runLane))
  const header = { startedAt: new Date().toISOString(), isQuick: args.quick, processors: cpus().length, failed }
  const results = toJson({ ...header, probes })
  await writeFile(path.join(args.out, 'results.json'), results)
  if (args.results !== undefined) await writeFile(args.results, results)
  log(failed.length === 0 ? 'all probes completed' : `probes failed: ${failed.join(', ')}`)
  return failed.length === 0 ? EXIT_OK : EXIT_FAILED
}

async function measureProbe (name: string, context: ProbeContext): Promise<MeasuredProbe> {
  context.log(`probe ${name} started`)
  const before = loadavg()[0]!
  const result = await PROBES[name]!(context)
  context.log(`probe ${name} finished`)
  return { ...result, lines: fitLines(result.points), loadAverage: [before, loadavg()[0]!] }
}

function fitLines (points: readonly Point[]): Record<string, Line> {
  const names = Object.keys(points[0]!.figures)
    .filter((name) => points.every(({ figures }) => figures[name] !== undefined))
  return Object.fromEntries(names.map((name) =>
    [name, fitLine(points.map(({ size, figures }) => ({ size, value: figures[name]! })))]))
}

function toJson (value: unknown): string {
  return `${JSON.stringify(value, (_, each) => typeof each === 'number' ? Number(each.toPrecision(DIGITS)) : each, 2)}\n`
}
