export { createSystemClock, type Clock } from './clock'
export { TIMED_OUT, withTimeLimit } from './timeLimit'
export { createWakeup, type Wakeup } from './wakeup'
