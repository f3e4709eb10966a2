export { createLink, type Link, type LinkMode } from './link'
