/** Follows the configuration at the platform. */
import type { Result } from 'neverthrow'
import type { Log, Metrics, ObjectFeed } from '../shared'
import type { RelayConfig } from './model'
import { createRouteTable, type RouteTable } from './routing'

export interface FollowConfigOptions {
  feed: Pick<ObjectFeed, 'objects' | 'subscribe'>
  /** The object that holds the configuration. */
  object: { kind: string, name: string, decode: (value: unknown) => Result<RelayConfig, Error> }
  /** Called after a configuration has come into force. */
  onChange: (table: RouteTable) => void
  metrics: Metrics
  log: Log
}

/**
 * Applies the configuration that is known, and each later one; an older one is never applied again.
 *
 * @returns the function that returns the routes in force, undefined while no configuration is known
 */
export function followConfig (options: FollowConfigOptions): () => RouteTable | undefined {
  const { feed, object: { kind, name, decode }, metrics, log } = options
  let table: RouteTable | undefined

  function apply (value: unknown, revision: number): void {
    const config = decode(value)
    if (config.isErr()) {
      log.error({ revision, cause: config.error.message }, 'configuration cannot be read; the one in force stays')
      metrics.count('config.unreadable')
      return
    }
    if (table !== undefined && config.value.version < table.version) {
      log.warn({ revision, version: config.value.version, inForce: table.version }, 'older configuration left out')
      return
    }
    table = createRouteTable(config.value)
    log.info({ version: table.version, revision, routes: config.value.routes.length }, 'configuration in force')
    options.onChange(table)
  }

  const known = feed.objects(kind).get(name)
  if (known !== undefined) apply(known.value, known.revision)
  feed.subscribe(kind, (event) => {
    if (event.name === name && event.object !== undefined) apply(event.object.value, event.revision)
  })
  return () => table
}
