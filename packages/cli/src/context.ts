import { HttpLogClient, type LogClient } from '@briarsaddle/platform'
import type { BaseContext } from 'clipanion'

/** A log client and the function that closes it. */
export interface OpenLog {
  readonly client: LogClient
  readonly close: () => Promise<void>
}

/** Context that is passed to all commands. */
export interface CliContext extends BaseContext {
  /** Opens a client for a stream of the log service; tests replace it. */
  openLog (origin: string, stream: string): OpenLog
}

// Longer than in the daemon, because an operator can wait for a slow log.
const logTimeoutMilliseconds = 10_000

/** Opens an HTTP client for a stream of the log service. */
export function openHttpLog (origin: string, stream: string): OpenLog {
  const client = new HttpLogClient({ origin, stream, appendTimeoutMilliseconds: logTimeoutMilliseconds, readTimeoutMilliseconds: logTimeoutMilliseconds })
  return { client, close: async () => await client.close() }
}
