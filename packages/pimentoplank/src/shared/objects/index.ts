export { OBJECT_KINDS, type ObjectKind } from './kinds'
