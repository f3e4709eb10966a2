export { createLoadView, type LoadView, type LoadViewOptions, type TargetLoad, type WorkClass } from './loadView'
export { createPeerUses, type PeerUses } from './peerUses'
export { createTargetLimits, type TargetLimits, type TargetLimitsOptions } from './targetLimits'
export { createTargetPreference, type TargetPreferenceOptions } from './targetPreference'
