// Counts passed and failed scenarios of a cucumber message file; failures listed in KNOWN-RED.txt don't fail the run.
import { existsSync, readFileSync } from 'node:fs'
import { readScenarios } from './scenarios.mjs'

const [file, runnerStatus = '0'] = process.argv.slice(2)
const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const TEST_PREFIX = 'test: '

function readKnownRed () {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  const tests = lines.filter((line) => line.startsWith(TEST_PREFIX))
  return new Set(tests.map((line) => line.slice(TEST_PREFIX.length).trim()))
}

const scenarios = readScenarios(file)
const knownRed = readKnownRed()
const isKnown = ({ uri, name }) => knownRed.has(`${uri}: ${name}`)
const failed = scenarios.filter((scenario) => !scenario.ok)
const unexpected = failed.filter((scenario) => !isKnown(scenario))

for (const scenario of failed) {
  console.log(`${isKnown(scenario) ? 'known red' : 'FAILED'}: ${scenario.uri}: ${scenario.name}`)
}
const runnerBroke = Number(runnerStatus) !== 0 && failed.length === 0
if (runnerBroke) console.log(`FAILED: the test runner ended with status ${runnerStatus}`)
const unexpectedCount = unexpected.length + (runnerBroke ? 1 : 0)
console.log(`${scenarios.length - failed.length} passed, ${unexpectedCount} failed`)
process.exitCode = unexpectedCount > 0 || scenarios.length === 0 ? 1 : 0
