/** End-to-end demo on one machine: starts a small deployment, applies a release note, runs live and batch work. */
import path from 'node:path'
import { command, flag, option, string } from 'cmd-ts'
import { EXIT_OK, EXIT_FAILED, runProgram, VERSION } from 'pimentoplank/shared'
import { readPlan, startDeployment, type Deployment } from '../deployment'
import { runDemo, type DemoFiles } from './runDemo'
import { printReport } from './report'

const DEFAULT_PLAN = 'playground/demo/deployment.json'

await runProgram(command({
  name: 'demo',
  version: VERSION,
  description: 'Starts a small deployment as separate processes and runs live and batch work through it.',
  args: {
    keep: flag({ long: 'keep', description: 'Keep the deployment running and print commands to try.' }),
    plan: option({ type: string, long: 'plan', defaultValue: () => DEFAULT_PLAN, description: 'Deployment plan.' })
  },
  handler: async (args) => { process.exitCode = await runDeployment(args) }
}))

async function runDeployment (args: { keep: boolean, plan: string }): Promise<number> {
  const files = findDemoFiles(args.plan)
  const plan = await readPlan(args.plan)
  const startedAt = Date.now()
  console.log('Starting the deployment …')
  const deployment = await startDeployment({ plan, folder: files.folder })
  console.log(`${deployment.processes.size} processes are listening after ${Date.now() - startedAt} ms; logs are in ${files.folder}`)
  const problems = await runDemo(deployment, files).then(printReport, describeFailure)
  if (args.keep && problems.length === 0) await keepRunning(deployment, files)
  const ended = await deployment.stop()
  for (const { id, code } of ended) {
    if (code !== EXIT_OK) problems.push(`process ${id} exited with code ${code}, expected 0`)
  }
  for (const problem of problems) console.error(`PROBLEM: ${problem}`)
  console.log(problems.length === 0 ? `Done in ${Date.now() - startedAt} ms.` : 'The demo failed.')
  return problems.length === 0 ? EXIT_OK : EXIT_FAILED
}

function findDemoFiles (plan: string): DemoFiles {
  const planFolder = path.dirname(plan)
  return {
    folder: path.join('reports', path.basename(planFolder)),
    releaseNote: path.join(planFolder, 'release-note.json'),
    keys: path.join(planFolder, 'keys.json'),
    batch: path.join(planFolder, 'batch.ndjson')
  }
}

function describeFailure (cause: unknown): string[] {
  return [cause instanceof Error ? cause.message : String(cause)]
}

async function keepRunning (deployment: Deployment, files: DemoFiles): Promise<void> {
  const entry = deployment.entryAddresses()[0]
  const cli = 'node packages/pimentoplank/dist/pimentoplank.js'
  console.log([
    '',
    'The deployment runs until Ctrl-C. Commands to try:',
    `  ${cli} status --config ${deployment.cliSettings}`,
    `  ${cli} diff ${files.releaseNote} --config ${deployment.cliSettings}`,
    `  curl -H 'authorization: Bearer <key>' http://${entry}/v1/instances    (keys: ${files.keys})`,
    '  curl -N -H \'authorization: Bearer <key>\' -H \'content-type: application/json\' \\',
    `    -d '{"model":"<model>","stream":true,"messages":[{"role":"user","content":"hello"}]}' http://${entry}/v1/chat/completions`
  ].join('\n'))
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}
