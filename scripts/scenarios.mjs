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

/**
 * Counts the scenarios that a run has left out since it ended early, one that it had begun included.
 *
 * @param {string} file - path of the message file
 * @returns {number} 0 for a run that came to its end
 */
export function countNotRun (file) {
  const messages = readMessages(file)
  if (messages.some((message) => message.testRunFinished)) return 0
  const finished = messages.filter((message) => message.testCaseFinished).length
  return Math.max(1, messages.filter((message) => message.testCase).length - finished)
}

function readMessages (path) {
  if (!existsSync(path)) return []
  // A run that was aborted may end within a line.
  return readFileSync(path, 'utf8').split('\n').slice(0, -1).filter(Boolean).map((line) => JSON.parse(line))
}

function recordStep (results, runs, step) {
  const testCase = runs.get(step.testCaseStartedId)
  const before = results.get(testCase) ?? { ok: true }
  const { status, message } = step.testStepResult
  results.set(testCase, before.ok && status !== 'PASSED' ? { ok: false, message } : before)
}
