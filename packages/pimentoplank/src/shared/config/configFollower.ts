/** Configuration in force on this instance, built from the release log as the feed delivers it. */
import type { ObjectFeed } from '../feed'
import type { Log } from '../logging'
import type { Metrics } from '../metrics'
import { OBJECT_KINDS } from '../objects'
import { replayLog } from './readLog'
import { createSnapshot, type ConfigSnapshot, type ConfigView } from './snapshot'

export interface ConfigFollowerOptions {
  /** Feed that includes `CONFIG_KINDS`. */
  feed: ObjectFeed
  metrics: Metrics
  log: Log
}

export interface ConfigFollower extends ConfigView {
  /** Resolves when the log has been read once. */
  ready: () => Promise<void>
  close: () => void
}

/** Kinds that the feed of a configuration follower must include. */
export const CONFIG_KINDS: readonly string[] = [OBJECT_KINDS.releaseNote, OBJECT_KINDS.configSnapshot]

/** Creates a follower. The sequence number of its configuration never decreases. */
export function createConfigFollower (options: ConfigFollowerOptions): ConfigFollower {
  const { feed, metrics, log } = options
  const listeners = new Set<(snapshot: ConfigSnapshot) => void>()
  let current = createSnapshot(0, [])
  let isRead = false
  let isScheduled = false

  function refresh (): void {
    isScheduled = false
    if (!isRead) return
    const objects = {
      notes: feed.objects(OBJECT_KINDS.releaseNote),
      snapshots: feed.objects(OBJECT_KINDS.configSnapshot)
    }
    const next = replayLog(current, objects, { metrics, log })
    if (next.sequence <= current.sequence) return
    current = next
    metrics.gauge('config.sequence', next.sequence)
    log.info({ sequence: next.sequence }, 'configuration in force')
    for (const listener of listeners) listener(next)
  }

  /** Schedules one refresh for all events of a batch. */
  function scheduleRefresh (): void {
    if (isScheduled) return
    isScheduled = true
    queueMicrotask(refresh)
  }

  const unsubscribers = CONFIG_KINDS.map((kind) => feed.subscribe(kind, scheduleRefresh))
  const ready = feed.ready().then(() => {
    isRead = true
    metrics.gauge('config.sequence', current.sequence)
    refresh()
  })

  return {
    current: () => current,
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    ready: async () => await ready,
    close: () => unsubscribers.forEach((stop) => stop())
  }
}
