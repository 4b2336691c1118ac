import { ByteCollector } from '@briarsaddle/common'
import type { Dispatcher } from 'undici'

/** An HTTP request whose answer is read as a whole. */
export interface HttpExchange {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Limit of the time for the whole exchange, including the wait for a connection, in milliseconds. */
  readonly timeoutMilliseconds: number
  readonly signal?: AbortSignal | undefined
  /** Called when undici begins to write the request. Before that, the request is only queued and no byte of it has been sent. */
  readonly onWrite?: () => void
}

/** A complete answer. */
export interface HttpReply {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
}

/**
 * Sends a request and reads the answer as text. Rejects with the error of undici, with the reason of the signal, or with a
 * timeout error; the connection is then closed. A request that is still waiting for a connection is then never written.
 *
 * Uses `dispatch` because the stream, abort signal and timer that undici's `request` creates for each call were a large part
 * of the cost of an idle VM, which makes about 35 such calls per second.
 */
export async function httpExchange (dispatcher: Dispatcher, exchange: HttpExchange): Promise<HttpReply> {
  const { method, path, headers = {}, body = null, timeoutMilliseconds, signal, onWrite } = exchange
  return await new Promise((resolve, reject) => {
    let controller: Dispatcher.DispatchController | undefined
    let failure: { readonly reason: unknown } | undefined
    let status = 0
    let answerHeaders: HttpReply['headers'] = {}
    const text = new ByteCollector()
    const settle = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', onAbort)
    }
    const fail = (reason: unknown): void => {
      if (failure !== undefined) return
      failure = { reason }
      settle()
      reject(reason)
      controller?.abort(asError(reason))
    }
    const onAbort = (): void => fail(signal?.reason)
    const timer = setTimeout(() => fail(new Error(`no answer within ${timeoutMilliseconds} ms`)), timeoutMilliseconds)
    if (signal?.aborted === true) return onAbort()
    signal?.addEventListener('abort', onAbort)
    dispatcher.dispatch({ method, path, headers, body }, {
      onRequestStart: started => {
        controller = started
        if (failure !== undefined) return started.abort(asError(failure.reason))
        onWrite?.()
      },
      onResponseStart: (_controller, statusCode, received) => {
        status = statusCode
        answerHeaders = received
      },
      onResponseData: (_controller, chunk) => { text.add(chunk) },
      onResponseEnd: () => {
        settle()
        resolve({ status, headers: answerHeaders, body: text.take().toString('utf8') })
      },
      onResponseError: (_controller, error) => fail(error)
    })
  })
}

function asError (reason: unknown): Error {
  return reason instanceof Error ? reason : new Error(String(reason))
}
