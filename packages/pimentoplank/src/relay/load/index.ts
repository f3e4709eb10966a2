export { createLoadView, type LoadView, type LoadViewOptions, type TargetLoad, type WorkClass } from './loadView'
