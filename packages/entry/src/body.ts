import type { IncomingMessage } from 'node:http'
import { ByteCollector } from '@briarsaddle/common'

/** Result of reading a request body. */
export type BodyResult =
  | { readonly kind: 'body', readonly body: Buffer }
  | { readonly kind: 'too_large' }
  | { readonly kind: 'aborted' }

const emptyBody = Buffer.alloc(0)

/** Returns the `Content-Length` of a request in bytes, or 0 when it has none. */
export function announcedLength (request: IncomingMessage): number {
  return Number(request.headers['content-length'] ?? 0)
}

/** Returns true when the headers announce a body. */
export function hasBody (request: IncomingMessage): boolean {
  return announcedLength(request) > 0 || request.headers['transfer-encoding'] !== undefined
}

/** Reads a complete body of at most `maximumBytes`. Stops reading when the body exceeds the limit. */
export async function readBody (request: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
  if (!hasBody(request)) return { kind: 'body', body: emptyBody }
  if (announcedLength(request) > maximumBytes) return { kind: 'too_large' }
  return await new Promise(resolve => {
    const body = new ByteCollector()
    const end = (result: BodyResult): void => {
      request.off('data', onData).off('end', onEnd).off('close', onClose)
      resolve(result)
    }
    const onData = (chunk: Buffer): void => {
      if (body.length + chunk.length <= maximumBytes) {
        body.add(chunk)
        return
      }
      request.pause()
      end({ kind: 'too_large' })
    }
    const onEnd = (): void => end({ kind: 'body', body: body.take() })
    const onClose = (): void => end({ kind: 'aborted' })
    request.on('data', onData).on('end', onEnd).on('close', onClose)
    // Errors are followed by `close`.
    request.on('error', () => {})
  })
}
