export { OBJECT_KINDS, type ObjectKind } from './kinds'
export * from './batchNames'
export * from './batchObjects'
export { createBitmap, type Bitmap } from './bitmap'
