import { createHmac } from 'node:crypto'
import type { Forward } from '@briarsaddle/protocol'

/** The parts of a request that are the same when a caller repeats it. */
export type RequestContent = Pick<Forward, 'pool' | 'method' | 'target' | 'bucket' | 'headers' | 'body'>

// The platform names no header with the identity of the caller. These are the ones by which HTTP servers know it.
const callerHeaders: readonly string[] = ['host', 'authorization', 'cookie']

/**
 * Returns a hash that is the same for repeats of a request: same path, caller, key and body, with any request id. The salt keeps callers from
 * choosing requests with equal hashes.
 */
export function fingerprintOf (salt: string, { method, target, bucket, headers, body }: RequestContent): string {
  const caller = callerHeaders.map(name => headers.filter(header => header.name.toLowerCase() === name).map(header => header.value))
  return createHmac('sha256', salt).update(JSON.stringify([method, target, bucket, caller])).update(body).digest('base64url')
}

const processCharacters = 16

/** Returns a short hash of a process of an endpoint. */
export function processFingerprintOf (salt: string, endpoint: string, life: number): string {
  return createHmac('sha256', salt).update(JSON.stringify([endpoint, life])).digest('base64url').slice(0, processCharacters)
}
