/** Finds the route of a request: the longest path prefix among the routes of its host. */
import type { RelayConfig, Route, Service } from '../model'

export interface RouteTable {
  version: number
  /**
   * The route of a request; undefined when none matches.
   *
   * @param host - host that the request names, with or without a port
   * @param path - path, with or without a query
   */
  find: (host: string, path: string) => Route | undefined
  /** A route by its name. */
  byName: (name: string) => Route | undefined
  service: (name: string) => Service | undefined
  limits: RelayConfig['limits']
}

/** Creates the table of a configuration. */
export function createRouteTable (config: RelayConfig): RouteTable {
  const byHost = new Map<string, Map<string, Route>>()
  const byName = new Map<string, Route>()
  for (const route of config.routes) {
    const host = route.host.toLowerCase()
    const prefixes = byHost.get(host) ?? new Map<string, Route>()
    prefixes.set(route.pathPrefix, route)
    byHost.set(host, prefixes)
    byName.set(route.name, route)
  }

  function find (host: string, path: string): Route | undefined {
    const prefixes = byHost.get(host.toLowerCase()) ?? byHost.get(withoutPort(host))
    if (prefixes === undefined) return undefined
    // Every prefix ends with a slash, so only these lengths can match.
    const end = path.indexOf('?')
    let slash = path.lastIndexOf('/', end < 0 ? undefined : end)
    while (slash >= 0) {
      const route = prefixes.get(path.slice(0, slash + 1))
      if (route !== undefined) return route
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)
    }
    return undefined
  }

  return {
    version: config.version,
    find,
    byName: (name) => byName.get(name),
    service: (name) => config.services.get(name),
    limits: config.limits
  }
}

function withoutPort (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}

/**
 * Picks the service of a request by the weights of its route.
 *
 * @param route - the route
 * @param point - a number from 0 up to, but not including, 1
 */
export function pickService (route: Route, point: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let rest = point * total
  for (const { service, weight } of route.services) {
    rest -= weight
    if (rest < 0) return service
  }
  return route.services.at(-1)?.service
}
