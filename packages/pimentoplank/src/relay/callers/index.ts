export { createDirectory, type Directory, type DirectoryAnswer } from './directory'
export { createRelayHandler, type CallerProtocol, type RelayHandler } from './relayHandler'
