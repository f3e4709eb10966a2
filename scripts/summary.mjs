// Counts passed and failed scenarios of cucumber message files; failures listed in KNOWN-RED.txt don't fail the run.
import { existsSync, readFileSync } from 'node:fs'
import { countNotRun, readScenarios } from './scenarios.mjs'

const [runnerStatus = '0', ...files] = process.argv.slice(2)
const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const TEST_PREFIX = 'test: '
const MAX_ERROR_LINES = 12

function readKnownRed () {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  const tests = lines.filter((line) => line.startsWith(TEST_PREFIX))
  return new Set(tests.map((line) => line.slice(TEST_PREFIX.length).trim()))
}

/** Returns the first lines of an error, without its stack. */
function describeError (message = 'no message') {
  const lines = message.split('\n').filter((line) => line.trim() !== '')
  const stackAt = lines.findIndex((line) => /^\s+at /.test(line))
  return lines.slice(0, Math.min(stackAt < 0 ? lines.length : stackAt, MAX_ERROR_LINES))
}

const scenarios = files.flatMap(readScenarios)
const knownRed = readKnownRed()
const isKnown = ({ uri, name }) => knownRed.has(`${uri}: ${name}`)
const failed = scenarios.filter((scenario) => !scenario.ok)
const unexpected = failed.filter((scenario) => !isKnown(scenario))

for (const scenario of failed) {
  console.log(`${isKnown(scenario) ? 'known red' : 'FAILED'}: ${scenario.uri}: ${scenario.name}`)
  // Repeated here, since the report of the test runner may be too far up in a log that is cut.
  for (const line of describeError(scenario.message)) console.log(`  ${line}`)
}
const runnerBroke = Number(runnerStatus) !== 0 && failed.length === 0
if (runnerBroke) console.log(`FAILED: the test runner ended with status ${runnerStatus}`)
const aborted = files.filter((file) => countNotRun(file) > 0)
const unexpectedCount = unexpected.length + (runnerBroke ? 1 : 0) + aborted.length
for (const file of aborted) console.log(`FAILED: the run of ${file} ended early: ${countNotRun(file)} scenarios did not run to their end`)
console.log(`${scenarios.length - failed.length} passed, ${unexpectedCount} failed`)
process.exitCode = unexpectedCount > 0 || scenarios.length === 0 ? 1 : 0
