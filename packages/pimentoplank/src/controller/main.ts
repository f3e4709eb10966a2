import { runDaemon } from '../shared'
import { runController } from './runController'
import { controllerSettings } from './settings'

await runDaemon({
  name: 'pimentoplank-controller',
  description: 'Makes targets follow the configuration: orders to engines, weight-store rate, status.',
  schema: controllerSettings,
  run: runController
})
