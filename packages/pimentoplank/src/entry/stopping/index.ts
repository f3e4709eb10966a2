export {
  createStopper, type Stopper, type StopperOptions, type StopStage
} from './stopper'
export { createLeavingGuard } from './leavingGuard'
