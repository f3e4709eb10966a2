export { createSystemClock, type Clock } from './clock'
export { TIMED_OUT, withTimeLimit } from './limit'
export { createWakeup, type Wakeup } from './wakeup'
