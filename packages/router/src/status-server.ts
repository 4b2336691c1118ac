import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import { BriarsaddleError, describeError, Logger, type LifeCycle } from '@briarsaddle/common'
import type { ListenAddress } from './node-settings.js'

const logger = new Logger('status')
// A request that does not end is not read on. Node.js would read and drop its body for five minutes.
const requestMilliseconds = 5_000
const connectionCheckMilliseconds = 1_000

/** Response of a status page. */
export interface StatusPage {
  readonly status: number
  readonly type: string
  readonly text: string
}

/** HTTP server for status pages, such as readiness for the balancer or metrics for the operator. */
export class StatusServer {
  readonly #pages: Readonly<Record<string, () => Promise<StatusPage>>>
  readonly #actions: Readonly<Record<string, (query: URLSearchParams) => Promise<StatusPage>>>

  /** `pages` maps each path to the function that creates its page, `actions` each path to the function that carries out a POST. */
  constructor (pages: Readonly<Record<string, () => Promise<StatusPage>>>, actions: Readonly<Record<string, (query: URLSearchParams) => Promise<StatusPage>>> = {}) {
    this.#pages = pages
    this.#actions = actions
  }

  /** Starts to listen and returns the port. Throws `listen_failed`. */
  async listen ({ host, port }: ListenAddress, lifeCycle: LifeCycle): Promise<number> {
    const server = createServer({ requestTimeout: requestMilliseconds, headersTimeout: requestMilliseconds, connectionsCheckingInterval: connectionCheckMilliseconds })
    const application = polka({ server })
    for (const [path, page] of Object.entries(this.#pages)) {
      application.get(path, async (_request, response) => send(response, await contentOf(path, page)))
    }
    for (const [path, action] of Object.entries(this.#actions)) {
      application.post(path, async (request, response) => {
        const query = new URLSearchParams(request.url.split('?')[1] ?? '')
        send(response, await contentOf(path, async () => await action(query)))
      })
    }
    await new Promise<void>((resolve, reject) => {
      server.once('error', error => reject(new BriarsaddleError(`cannot listen on ${host}:${port}: ${error.message}`, { code: 'listen_failed', step: 'listen', peer: `${host}:${port}`, cause: error })))
      application.listen(port, host, () => resolve())
    })
    lifeCycle.own('status server', () => {
      server.close()
      server.closeAllConnections()
    })
    return (server.address() as AddressInfo).port
  }
}

function send (response: ServerResponse, { status, type, text }: StatusPage): void {
  response.writeHead(status, { 'Content-Type': type, 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}

async function contentOf (path: string, page: () => Promise<StatusPage>): Promise<StatusPage> {
  try {
    return await page()
  } catch (error) {
    logger.error('page could not be created', { path, error: describeError(error) })
    return { status: 500, type: 'text/plain', text: 'the page could not be created\n' }
  }
}
