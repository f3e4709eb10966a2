export { createCallerApi, type CallerApiDeps } from './app'
export { hashKey } from './authenticate'
