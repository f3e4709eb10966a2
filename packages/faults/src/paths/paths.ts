/** The paths of the fault matrix. */
import type { DeployOptions } from '../deploy'
import { createBatchPath } from './batch'
import { createCancelPath } from './cancel'
import { createLivePath } from './live'
import { createOncePath } from './once'
import type { CreatePath } from './types'

export interface MatrixPath {
  deployOptions: DeployOptions
  create: CreatePath
}

export const PATHS = {
  batch: { deployOptions: {}, create: createBatchPath },
  cancel: { deployOptions: {}, create: createCancelPath },
  live: { deployOptions: { batches: 0 }, create: createLivePath },
  once: { deployOptions: { batches: 0, engines: 1 }, create: createOncePath }
} satisfies Record<string, MatrixPath>

export type PathName = keyof typeof PATHS
