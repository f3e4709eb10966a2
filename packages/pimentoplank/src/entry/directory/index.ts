export {
  createDirectory, type Directory, type DirectoryAnswer, type DirectoryEntry, type DirectoryOptions
} from './directory'
