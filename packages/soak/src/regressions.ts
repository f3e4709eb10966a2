/** Seeds that failed once, each with its cause; they are played again in CI. */

export interface Regression {
  seed: number
  seconds: number
  cause: string
}

const UNSETTLED = 'the owner of a job gave up after its takeover lost an answer, while another instance had acknowledged the job'

export const REGRESSIONS: readonly Regression[] = [
  { seed: 101, seconds: 15, cause: UNSETTLED },
  { seed: 105, seconds: 15, cause: UNSETTLED },
  { seed: 106, seconds: 15, cause: UNSETTLED },
  { seed: 107, seconds: 15, cause: UNSETTLED }
]
