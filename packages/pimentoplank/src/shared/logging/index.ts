/** Structured logging: one JSON object per line, with the fields of the request or chunk that it concerns. */
import bunyan from 'bunyan'

export { createBoundedOutput, openStandardOutput, type BoundedOutputOptions } from './boundedOutput'

export type Log = bunyan

export interface LogOptions {
  /** Program name. */
  name: string
  /** Instance id. */
  instance?: string
  level?: LogLevel
  stream?: NodeJS.WritableStream
}

export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const
export type LogLevel = typeof LOG_LEVELS[number]

/** Creates the log of a process; derive others with `log.child({ requestId, account, job, chunk })`. */
export function createLog (options: LogOptions): Log {
  return bunyan.createLogger({
    name: options.name,
    instance: options.instance ?? '',
    level: options.level ?? 'info',
    stream: options.stream ?? process.stdout,
    serializers: { err: bunyan.stdSerializers.err }
  })
}

/** Creates a log that discards everything, for tests. */
export function createSilentLog (): Log {
  return bunyan.createLogger({ name: 'silent', streams: [] })
}
