export {
  createShutdownController, type ShutdownController, type ShutdownControllerOptions, type ShutdownStage
} from './shutdownController'
export { createLeavingGuard } from './leavingGuard'
