export { createSystemClock, type Clock } from './clock'
