/** Runs a stand-in as a separate process. */
import { once } from 'node:events'
import { createStopSignal, describeCause, EXIT_FAILED } from 'pimentoplank/shared'
import type { StandinServer } from './standinServer'

/**
 * Starts a stand-in, prints its address as one JSON line, and closes it on SIGTERM.
 *
 * @param name - program name in the printed line
 * @param start - starts the server
 */
export async function runStandin (name: string, start: () => Promise<StandinServer>): Promise<void> {
  const stop = createStopSignal()
  try {
    const server = await start()
    process.stdout.write(JSON.stringify({ name, address: server.address, url: server.url, pid: process.pid }) + '\n')
    if (!stop.aborted) await once(stop, 'abort')
    await server.close()
  } catch (cause) {
    process.stderr.write(`${name}: ${describeCause(cause)}\n`)
    process.exitCode = EXIT_FAILED
  }
}
