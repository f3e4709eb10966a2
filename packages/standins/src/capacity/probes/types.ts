/** What a probe is given, and what it gives back. */
import type { Point } from '../figures'

export interface ProbeContext {
  /** Folder of settings and logs. */
  folder: string
  isQuick: boolean
  log: (line: string) => void
}

export interface ProbeResult {
  /** What the size counts. */
  size: string
  points: Point[]
}

export type Probe = (context: ProbeContext) => Promise<ProbeResult>
