export { createRouteTable, pickService, type RouteTable } from './routeTable'
