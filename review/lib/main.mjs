/**
 * Runs a case: writes its record, ends what it started, and exits with 1 (rule broken), 0 (held) or 2 (could not run).
 */
import { writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CannotRun, startFleet } from './fleet.mjs'

const LIMIT_MS = 115_000
export const isTroubled = process.env.TROUBLE !== '0'

/**
 * @param {string} url - of the script, beside which the record is written
 * @param {object} options - of the fleet
 * @param {(fleet: object) => Promise<string[]>} play - returns the ways in which the rule was broken
 */
export async function runCase (url, options, play) {
  const record = join(dirname(fileURLToPath(url)), 'record.txt')
  let fleet
  let code = 2
  const stop = async () => {
    await fleet?.close()
    process.exit(2)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { stop().catch(() => process.exit(2)) })
  const limit = setTimeout(() => { stop().catch(() => process.exit(2)) }, LIMIT_MS)
  try {
    fleet = await startFleet(options)
    fleet.note(isTroubled ? 'with the disruption' : 'without the disruption')
    const broken = await play(fleet)
    code = broken.length > 0 ? 1 : 0
    fleet.note(broken.length > 0 ? 'the rule was broken' : 'the rule held')
    for (const line of broken) fleet.note(line)
    console.log([broken.length > 0 ? 'the rule was broken' : 'the rule held', ...broken.slice(0, 10)].join('\n'))
  } catch (cause) {
    console.error(cause instanceof CannotRun ? `the case could not run: ${cause.message}` : cause)
    fleet?.note(`the case could not run: ${cause.message}`)
    code = 2
  }
  clearTimeout(limit)
  try {
    await finish(fleet, record)
  } catch (cause) {
    console.error(`the record could not be written: ${cause.message}`)
    code = 2
  }
  process.exit(code)
}

/** Ends all processes and writes the record. */
async function finish (fleet, record) {
  const runs = fleet?.getReplicas()?.runs ?? []
  const origin = runs[0]?.startedAt ?? 0
  await fleet?.close()
  const ran = runs.map((run) => describeRun(run, origin))
  writeFileSync(record, [...fleet?.lines ?? [], 'runs at the replicas, seconds from the first one', ...ran, ''].join('\n'))
  const { LOGS } = process.env
  if (LOGS !== undefined && fleet !== undefined) writeFileSync(LOGS, fleet.logs.map(({ line }) => line).join('\n'))
}

function describeRun ({ id, replica, from, sent, outcome, startedAt, endedAt = startedAt }, origin) {
  const [begin, end] = [startedAt, endedAt].map((at) => ((at - origin) / 1000).toFixed(3))
  return `run ${id} at ${replica} from event ${from}: ${sent} events, ${outcome}, ${begin} s to ${end} s`
}
