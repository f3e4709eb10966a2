// Reads scenarios and their results from a cucumber message file.
import { existsSync, readFileSync } from 'node:fs'

/**
 * Lists the scenarios that ran.
 *
 * @param {string} file - path of the message file
 * @returns {Array<{ uri: string, name: string, ok: boolean, message?: string }>} message: of the first failed step
 */
export function readScenarios (file) {
  const pickles = new Map()
  const cases = new Map()
  const runs = new Map()
  const results = new Map()
  for (const message of readMessages(file)) {
    if (message.pickle) pickles.set(message.pickle.id, message.pickle)
    if (message.testCase) cases.set(message.testCase.id, message.testCase.pickleId)
    if (message.testCaseStarted) runs.set(message.testCaseStarted.id, message.testCaseStarted.testCaseId)
    if (message.testStepFinished) recordStep(results, runs, message.testStepFinished)
  }
  return [...results].map(([testCase, result]) => {
    const { uri, name } = pickles.get(cases.get(testCase))
    return { uri, name, ...result }
  })
}

function readMessages (path) {
  if (!existsSync(path)) return []
  return readFileSync(path, 'utf8').split('\n').filter(Boolean).map((line) => JSON.parse(line))
}

function recordStep (results, runs, step) {
  const testCase = runs.get(step.testCaseStartedId)
  const before = results.get(testCase) ?? { ok: true }
  const { status, message } = step.testStepResult
  results.set(testCase, before.ok && status !== 'PASSED' ? { ok: false, message } : before)
}
