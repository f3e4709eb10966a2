/** Seeds that failed once, each with its cause; they are played again in CI. */

export interface Regression {
  seed: number
  seconds: number
  cause: string
}

export const REGRESSIONS: readonly Regression[] = []
