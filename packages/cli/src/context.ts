import { HttpLogClient, type LogClient } from '@briarsaddle/platform'
import type { BaseContext } from 'clipanion'

/** A log client and how to release it. */
export interface OpenLog {
  readonly client: LogClient
  readonly close: () => Promise<void>
}

/** What commands take from their surroundings. */
export interface CliContext extends BaseContext {
  openLog (origin: string, stream: string): OpenLog
}

// An operator waits longer for a slow log than a daemon that has other work to do.
const logTimeoutMilliseconds = 10_000

/** Opens the log service over HTTP. */
export function openHttpLog (origin: string, stream: string): OpenLog {
  const client = new HttpLogClient({ origin, stream, appendTimeoutMilliseconds: logTimeoutMilliseconds, readTimeoutMilliseconds: logTimeoutMilliseconds })
  return { client, close: async () => await client.close() }
}
