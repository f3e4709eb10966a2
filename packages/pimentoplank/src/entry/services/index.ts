export { createServiceRoutes, type ServiceRouteDeps } from './serviceRoutes'
