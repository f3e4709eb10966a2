export { createStopSignal, runProgram, EXIT_OK, EXIT_FAILED, EXIT_USAGE } from './runProgram'
export { serveHttp, type HttpServer } from './httpServer'
export { truncateResponse } from './truncateResponse'
export { VERSION } from './version'
