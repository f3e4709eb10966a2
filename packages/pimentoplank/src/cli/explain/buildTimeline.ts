/** Builds the timeline of one request, job or item from log lines. */
import type { LogLine } from './readLogLines'

export interface TimelineEntry {
  /** ISO 8601. */
  time: string
  instance: string
  event: string
  /** Inputs and outcome of the decision that the line describes. */
  details: Record<string, unknown>
  /** True for a line with the id itself; false for one about a target or the state of an instance. */
  isDirect: boolean
}

/** Time before the first and after the last direct line in which related lines are included, in milliseconds. */
const BEFORE_MS = 2000
const AFTER_MS = 500
/** Messages about the state of an instance, which affects every request on it. */
const INSTANCE_STATE_MESSAGES = new Set([
  'configuration in force', 'configuration cannot be read; the one in force stays', 'older configuration left out',
  'peer is silent', 'peer heard', 'watch failed', 'watch answers again', 'starting', 'listening',
  'leaving: out of the directory', 'leaving: new requests are refused', 'leaving: done', 'settings reloaded'
])
/** Fields that every log line has. */
const COMMON_FIELDS = new Set(['v', 'name', 'hostname', 'pid', 'level', 'time', 'msg', 'instance'])

/**
 * Builds the timeline of an id: its own lines and the related ones, sorted by time.
 *
 * @param lines - log lines of all instances, in any order
 * @param id - id of a request, a job or an item
 */
export function buildTimeline (lines: readonly LogLine[], id: string): TimelineEntry[] {
  const direct = lines.filter((line) => line.req === id || line.job === id || line.item === id)
  if (direct.length === 0) return []
  const times = direct.map(({ time }) => Date.parse(time))
  const from = Math.min(...times) - BEFORE_MS
  const to = Math.max(...times) + AFTER_MS
  const instances = new Set(direct.map(({ instance }) => instance))
  const targets = new Set(direct.map(({ target }) => target).filter((target) => target !== undefined))
  const related = lines.filter((line) => {
    const timeMs = Date.parse(line.time)
    if (direct.includes(line) || timeMs < from || timeMs > to || !instances.has(line.instance)) return false
    const isAboutOtherId = line.req !== undefined || line.job !== undefined
    const isAboutTarget = !isAboutOtherId && line.target !== undefined && targets.has(line.target)
    return isAboutTarget || INSTANCE_STATE_MESSAGES.has(line.msg)
  })
  return [...direct.map((line) => toTimelineEntry(line, true)), ...related.map((line) => toTimelineEntry(line, false))]
    .sort((a, b) => (a.time < b.time ? -1 : 1))
}

function toTimelineEntry ({ time, instance, msg, ...rest }: LogLine, isDirect: boolean): TimelineEntry {
  const details = Object.fromEntries(Object.entries(rest).filter(([name]) => !COMMON_FIELDS.has(name)))
  return { time, instance, event: msg, details, isDirect }
}
