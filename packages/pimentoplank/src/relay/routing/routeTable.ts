/** Matches requests to routes by host and longest path prefix. */
import type { RelayConfig, Route, Service } from '../model'

export interface RouteTable {
  version: number
  /**
   * Finds the route of a request; undefined when none matches.
   *
   * @param host - host of the request, with or without a port
   * @param path - request path, with or without a query
   */
  findRoute: (host: string, path: string) => Route | undefined
  /** Finds a route by its name. */
  findRouteByName: (name: string) => Route | undefined
  findService: (name: string) => Service | undefined
  /** Names of the services that run items of batch jobs. */
  batchServices: ReadonlySet<string>
  limits: RelayConfig['limits']
}

/** Creates the route table of a configuration. */
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
    const prefixes = byHost.get(host.toLowerCase()) ?? byHost.get(removePort(host))
    if (prefixes === undefined) return undefined
    // Every prefix ends with a slash, so only substrings that end with a slash can match.
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
    findRoute: find,
    findRouteByName: (name) => byName.get(name),
    findService: (name) => config.services.get(name),
    batchServices: new Set(config.routes.filter(({ kind }) => kind === 'batch').flatMap(listUsedServices)),
    limits: config.limits
  }
}

/** Lists the services to which a route sends requests now. */
export function listUsedServices ({ services }: Pick<Route, 'services'>): string[] {
  return services.filter(({ weight }) => weight > 0).map(({ service }) => service)
}

function removePort (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}

/**
 * Picks the service of a request by the weights of its route.
 *
 * @param fraction - random number in the range [0, 1)
 * @returns undefined when the route has no services
 */
export function pickService (route: Route, fraction: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = fraction * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service
}
