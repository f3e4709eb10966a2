/** The paths of the fault matrix. */
import { SECOND_MS } from 'pimentoplank/shared'
import type { DeployOptions } from '../deploy'
import { createBatchPath } from './batch'
import { createCancelPath } from './cancel'
import { createConfigurationPath } from './configuration'
import { createLivePath } from './live'
import { createOncePath } from './once'
import { createOrderPath } from './order'
import type { CreatePath } from './types'

export interface MatrixPath {
  deployOptions: DeployOptions
  create: CreatePath
}

/** Silence after which a stream moves; longer than engines hold streams while a fault is injected. */
const SILENCE_TIMEOUT_MS = 6 * SECOND_MS

export const PATHS = {
  batch: { deployOptions: {}, create: createBatchPath },
  cancel: { deployOptions: {}, create: createCancelPath },
  configuration: { deployOptions: { entries: 5, engines: 1 }, create: createConfigurationPath },
  live: {
    deployOptions: {
      batches: 0,
      entrySettings: { streams: { firstTokenTimeoutMs: SILENCE_TIMEOUT_MS, tokenGapTimeoutMs: SILENCE_TIMEOUT_MS } }
    },
    create: createLivePath
  },
  once: { deployOptions: { batches: 0, engines: 1 }, create: createOncePath },
  order: {
    deployOptions: { batches: 0, controllers: 2, engines: 4, engineArgs: ['--checks-fencing'] },
    create: (testbed) => createOrderPath(testbed, true)
  },
  unfenced: {
    deployOptions: { batches: 0, controllers: 2, engines: 4 },
    create: (testbed) => createOrderPath(testbed, false)
  }
} satisfies Record<string, MatrixPath>

export type PathName = keyof typeof PATHS
