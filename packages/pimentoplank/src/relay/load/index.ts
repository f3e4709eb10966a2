export { createLoadView, type LoadView, type LoadViewOptions, type TargetLoad, type WorkClass } from './loadView'
export { createPeerUses, type PeerUses } from './peerUses'
export { createPreference, type PreferenceOptions } from './preference'
