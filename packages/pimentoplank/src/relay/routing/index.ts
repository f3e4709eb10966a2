export { createRouteTable, listUsedServices, pickService, type RouteTable } from './routeTable'
