// Counts the scenarios of a cucumber message file, and lets pass just the failures that KNOWN-RED.txt names.
import { existsSync, readFileSync } from 'node:fs'

const [file, runnerStatus = '0'] = process.argv.slice(2)
const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const PASSING = new Set(['PASSED'])

function readMessages (path) {
  if (!existsSync(path)) return []
  return readFileSync(path, 'utf8').split('\n').filter(Boolean).map((line) => JSON.parse(line))
}

function readKnownRed () {
  if (!existsSync(KNOWN_RED_FILE)) return []
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
}

function collectScenarios (messages) {
  const names = new Map()
  const cases = new Map()
  const runs = new Map()
  const results = new Map()
  for (const message of messages) {
    if (message.pickle) names.set(message.pickle.id, `${message.pickle.uri}: ${message.pickle.name}`)
    if (message.testCase) cases.set(message.testCase.id, message.testCase.pickleId)
    if (message.testCaseStarted) runs.set(message.testCaseStarted.id, message.testCaseStarted.testCaseId)
    if (message.testStepFinished) noteStep(results, runs, message.testStepFinished)
    if (message.testCaseFinished?.willBeRetried) results.delete(runs.get(message.testCaseFinished.testCaseStartedId))
  }
  return [...results].map(([testCase, ok]) => ({ name: names.get(cases.get(testCase)), ok }))
}

function noteStep (results, runs, step) {
  const testCase = runs.get(step.testCaseStartedId)
  const before = results.get(testCase) ?? true
  results.set(testCase, before && PASSING.has(step.testStepResult.status))
}

const scenarios = collectScenarios(readMessages(file))
const knownRed = readKnownRed()
const isKnown = (scenario) => knownRed.some((name) => scenario.name.includes(name))
const failed = scenarios.filter((scenario) => !scenario.ok)
const unexpected = failed.filter((scenario) => !isKnown(scenario))

for (const scenario of failed) {
  console.log(`${isKnown(scenario) ? 'known red' : 'FAILED'}: ${scenario.name}`)
}
const runnerBroke = Number(runnerStatus) !== 0 && failed.length === 0
if (runnerBroke) console.log(`FAILED: the test runner ended with status ${runnerStatus}`)
const unexpectedCount = unexpected.length + (runnerBroke ? 1 : 0)
console.log(`${scenarios.length - failed.length} passed, ${unexpectedCount} failed`)
process.exitCode = unexpectedCount > 0 || scenarios.length === 0 ? 1 : 0
