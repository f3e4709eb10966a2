export {
  createModelPlacement, parsePlacement, placementName, placementRecord, type ModelPlacement, type PlacementRecord
} from './placement'
