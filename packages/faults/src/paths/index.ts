export { PATHS, type PathName } from './paths'
