// The parts of undici that the programs use. Its index also loads fetch, WebSocket, caches and mocks.
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher')

Dispatcher.prototype.request = require('../../node_modules/undici/lib/api/api-request')

exports.Dispatcher = Dispatcher
exports.Agent = require('../../node_modules/undici/lib/dispatcher/agent')
exports.Client = require('../../node_modules/undici/lib/dispatcher/client')
exports.buildConnector = require('../../node_modules/undici/lib/core/connect')
exports.errors = require('../../node_modules/undici/lib/core/errors')
exports.request = (url, { dispatcher, method = 'GET', ...options }) => {
  const { origin, pathname, search } = new URL(url)
  return dispatcher.request({ ...options, method, origin, path: pathname + search })
}
