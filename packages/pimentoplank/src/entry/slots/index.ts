export { createSlotHome, type SlotHome, type SlotHomeOptions, type SlotHomeStats } from './slotHome'
