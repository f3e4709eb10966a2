/** CPU time and memory of processes, read from procfs. */
import { readFile } from 'node:fs/promises'
import { KIB_BYTES, SECOND_MS } from 'pimentoplank/shared'

/** Clock ticks per second in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100
/** Positions of the fields in `/proc/<pid>/stat`, counted after the program name. */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

export interface ProcessUsage {
  /** CPU time since the start of the process, in milliseconds. */
  cpuMs: number
  /** Resident memory, in bytes. */
  residentBytes: number
  /** Peak resident memory, in bytes. */
  peakResidentBytes: number
}

/** Reads the usage of a process; undefined when it has ended. */
export async function readUsage (pid: number): Promise<ProcessUsage | undefined> {
  try {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
    const status = await readFile(`/proc/${pid}/status`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])
    return {
      cpuMs: ticks * SECOND_MS / TICKS_PER_SECOND,
      residentBytes: parseStatusBytes(status, 'VmRSS'),
      peakResidentBytes: parseStatusBytes(status, 'VmHWM')
    }
  } catch {
    return undefined
  }
}

function parseStatusBytes (status: string, field: string): number {
  const line = status.split('\n').find((text) => text.startsWith(`${field}:`))
  return Number(line?.split(/\s+/)[1] ?? 0) * KIB_BYTES
}
