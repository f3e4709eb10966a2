export { cliSettings, type CliSettings } from './settings'
export { checkFile, schemaOf } from './check'
export { FILE_KINDS, FILE_SCHEMAS, recognizeFile, type FileKind } from './programs'
export { cli } from './commands'
