export {
  createModelPlacement, parsePlacement, toPlacementName, placementRecord, type ModelPlacement, type PlacementRecord
} from './placement'
