/** The paths of the fault matrix. */
import type { DeployOptions } from '../deploy'
import { createBatchPath } from './batch'
import type { CreatePath } from './types'

export interface MatrixPath {
  deployOptions: DeployOptions
  create: CreatePath
}

export const PATHS = {
  batch: { deployOptions: {}, create: createBatchPath }
} satisfies Record<string, MatrixPath>

export type PathName = keyof typeof PATHS
