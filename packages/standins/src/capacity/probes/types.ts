/** Interface of a capacity probe. */
import type { Point } from '../figures'

export interface ProbeContext {
  /** Folder for settings and logs. */
  folder: string
  isQuick: boolean
  log: (line: string) => void
}

export interface ProbeResult {
  /** Unit of the sizes, such as `entry instances`. */
  size: string
  points: Point[]
}

export type Probe = (context: ProbeContext) => Promise<ProbeResult>
