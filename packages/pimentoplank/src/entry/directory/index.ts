export {
  createDirectory, type Directory, type DirectoryResponse, type DirectoryEntry, type DirectoryOptions
} from './directory'
