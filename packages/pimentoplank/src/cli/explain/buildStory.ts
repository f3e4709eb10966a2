/** Finds the log lines that tell what happened to one request, job or item. */
import type { LogLine } from './readLogLines'

export interface StoryLine {
  /** ISO 8601. */
  time: string
  instance: string
  event: string
  /** What the decision rested on, and its outcome. */
  details: Record<string, unknown>
  /** False for a line about a target or a dependency rather than about the request itself. */
  isDirect: boolean
}

/** How long before the first and after the last direct line related ones are looked for, in milliseconds. */
const BEFORE_MS = 2000
const AFTER_MS = 500
/** Lines about what an instance believes; they concern every request there. */
const BELIEFS = new Set([
  'configuration in force', 'configuration cannot be read; the one in force stays', 'older configuration left out',
  'peer is silent', 'peer heard', 'watch failed', 'watch answers again', 'starting', 'listening',
  'leaving: out of the directory', 'leaving: new requests are refused', 'leaving: done', 'settings reloaded'
])
/** Fields that every line has. */
const COMMON_FIELDS = new Set(['v', 'name', 'hostname', 'pid', 'level', 'time', 'msg', 'instance'])

/**
 * Builds the story of an id.
 *
 * @param lines - log lines of all instances, in any order
 * @param id - id of a request, a job or an item
 */
export function buildStory (lines: readonly LogLine[], id: string): StoryLine[] {
  const direct = lines.filter((line) => line.req === id || line.job === id || line.item === id)
  if (direct.length === 0) return []
  const times = direct.map(({ time }) => Date.parse(time))
  const from = Math.min(...times) - BEFORE_MS
  const to = Math.max(...times) + AFTER_MS
  const instances = new Set(direct.map(({ instance }) => instance))
  const targets = new Set(direct.map(({ target }) => target).filter((target) => target !== undefined))
  const related = lines.filter((line) => {
    const at = Date.parse(line.time)
    if (direct.includes(line) || at < from || at > to || !instances.has(line.instance)) return false
    const isOfOther = line.req !== undefined || line.job !== undefined
    const isAboutTarget = !isOfOther && line.target !== undefined && targets.has(line.target)
    return isAboutTarget || BELIEFS.has(line.msg)
  })
  return [...direct.map((line) => toStoryLine(line, true)), ...related.map((line) => toStoryLine(line, false))]
    .sort((a, b) => (a.time < b.time ? -1 : 1))
}

function toStoryLine ({ time, instance, msg, ...rest }: LogLine, isDirect: boolean): StoryLine {
  const details = Object.fromEntries(Object.entries(rest).filter(([name]) => !COMMON_FIELDS.has(name)))
  return { time, instance, event: msg, details, isDirect }
}
