import { writeFile } from 'node:fs/promises'
import { array, command, multioption, number, option, optional, string } from 'cmd-ts'
import { describeCause, EXIT_FAILED, EXIT_USAGE, loadSettings, runProgram, VERSION } from 'pimentoplank/shared'
import { experiment as experimentSchema } from './experiment'
import { runExperiment } from './runExperiment'

interface LoadArguments {
  experiment: string
  entry: string[]
  target: string[]
  seed?: number
  out?: string
  commit?: string
}

await runProgram(command({
  name: 'pimentoplank-load',
  version: VERSION,
  description: 'Sends the load of an experiment to entry instances and writes what callers observed.',
  args: {
    experiment: option({ type: string, long: 'experiment', description: 'Experiment file (JSON).' }),
    entry: multioption({ type: array(string), long: 'entry', description: 'Address of an entry instance; repeatable.' }),
    target: multioption({ type: array(string), long: 'target', description: 'NAME=URL for scheduled faults; repeatable.' }),
    seed: option({ type: optional(number), long: 'seed', description: 'Overrides the seed in the file.' }),
    out: option({ type: optional(string), long: 'out', description: 'Result file; standard output when absent.' }),
    commit: option({ type: optional(string), long: 'commit', description: 'Commit to name in the result.' })
  },
  handler: async (args) => { process.exitCode = await load(args) }
}))

async function load (args: LoadArguments): Promise<number> {
  const settings = await loadSettings(args.experiment, experimentSchema)
  if (settings.isErr() || args.entry.length === 0) {
    console.error(settings.isErr() ? settings.error.message : 'expected at least one --entry, got none')
    return EXIT_USAGE
  }
  const experiment = { ...settings.value, seed: args.seed ?? settings.value.seed }
  const targets = Object.fromEntries(args.target.map((pair) => pair.split(/=(.*)/, 2) as [string, string]))
  try {
    const result = await runExperiment({ experiment, entries: args.entry, targets, commit: args.commit })
    const text = JSON.stringify(result, null, 2)
    if (args.out === undefined) console.log(text)
    else await writeFile(args.out, text)
    return 0
  } catch (cause) {
    console.error(`experiment failed: ${describeCause(cause)}`)
    return EXIT_FAILED
  }
}
