import { errorCode } from './errors.js'

const handled = new WeakSet<object>()

/**
 * Lets the process go on quietly when nobody reads an output stream any more, as with `| head`: what is still written is dropped. Node.js would end the
 * process with a stack trace, also in the middle of a change.
 */
export function ignoreClosedOutput (...streams: ReadonlyArray<Pick<NodeJS.WritableStream, 'on'>>): void {
  for (const stream of streams) {
    if (handled.has(stream)) continue
    handled.add(stream)
    stream.on('error', (error: Error) => {
      if (errorCode(error) !== 'EPIPE') throw error
    })
  }
}
