/** Command line of the soak test. */
import { command, number, option, run, string } from 'cmd-ts'
import { EVERY_FAULT, runSeed } from './runSeed'

const EXIT_FAILED = 1
const MS_PER_S = 1000

const soak = command({
  name: 'soak',
  description: 'Inject random faults into instances in separate processes and check every guarantee. Exits with 1 on a violation.',
  args: {
    seed: option({ type: number, long: 'seed', defaultValue: () => Date.now() % 1_000_000, description: 'First seed.' }),
    seeds: option({ type: number, long: 'seeds', defaultValue: () => 1, description: 'Number of consecutive seeds.' }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 20, description: 'Time in which faults start.' }),
    instances: option({ type: number, long: 'instances', defaultValue: () => 5, description: 'Number of instances.' }),
    targets: option({ type: number, long: 'targets', defaultValue: () => 8, description: 'Number of targets.' }),
    jobs: option({ type: number, long: 'jobs', defaultValue: () => 1, description: 'Number of seeds run in parallel.' }),
    folder: option({ type: string, long: 'folder', defaultValue: () => 'reports/soak', description: 'Folder for logs of failed seeds.' })
  },
  handler: async ({ seed, seeds, seconds, jobs, ...rest }) => {
    const left = Array.from({ length: seeds }, (_, index) => seed + index)
    let failed = 0
    async function work (): Promise<void> {
      for (let next = left.shift(); next !== undefined; next = left.shift()) {
        const lengthMs = seconds * MS_PER_S
        const outcome = await runSeed({ seed: next, lengthMs, ...EVERY_FAULT, ...rest })
        if (outcome.broken.length > 0) failed += 1
        process.stdout.write(`${JSON.stringify(outcome)}\n`)
      }
    }
    await Promise.all(Array.from({ length: jobs }, work))
    process.stdout.write(`${seeds - failed} passed, ${failed} failed\n`)
    process.exit(failed > 0 ? EXIT_FAILED : 0)
  }
})

await run(soak, process.argv.slice(2))
