export { createSlotScheduler, type SlotScheduler, type SlotSchedulerOptions, type TargetStats } from './slotScheduler'
