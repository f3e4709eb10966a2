/** Log of the runs of the engine stand-in, with request ID and content. */

const MAX_RUNS = 200_000
const CONTENT_CHARS = 256

export type RunOutcome = 'running' | 'done' | 'cancelled' | 'crashed'

export interface EngineRun {
  requestId: string
  /** First characters of the prompt. */
  content: string
  /** Wall clock time, in milliseconds since the epoch. */
  startedAt: number
  /** Index of the first token of this run; above 0 when it resumes an earlier one. */
  from: number
  /** Number of tokens of the answer so far, including those before `from`. */
  tokens: number
  outcome: RunOutcome
}

export interface RunLog {
  startRun: (run: Pick<EngineRun, 'requestId' | 'content' | 'startedAt' | 'from'>) => EngineRun
  getRuns: () => EngineRun[]
}

/** Creates an empty log, which keeps the most recent runs. */
export function createRunLog (): RunLog {
  const runs: EngineRun[] = []
  return {
    startRun: (start) => {
      const run: EngineRun = {
        ...start,
        content: start.content.slice(0, CONTENT_CHARS),
        tokens: start.from,
        outcome: 'running'
      }
      runs.push(run)
      if (runs.length > 2 * MAX_RUNS) runs.splice(0, MAX_RUNS)
      return run
    },
    getRuns: () => runs.map((run) => ({ ...run }))
  }
}
