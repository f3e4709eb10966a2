export { controllerSettings, type ControllerSettings } from './settings'
export { CONTROLLER_LEASE, createController, type Controller, type ControllerDeps } from './controller'
export { createEngineControl, OrderError, type EngineControl, type EngineState, type Order } from './engineControl'
export { planFleet, type ObservedEngine, type Plan, type PlanInput } from './plan'
