export { createStatusRoutes, type StatusRoutesOptions } from './statusRoutes'
