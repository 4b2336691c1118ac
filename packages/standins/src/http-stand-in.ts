import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka, { type Middleware, type Polka } from 'polka'
import { z } from 'zod'
import { describeError } from '@briarsaddle/common'

/** Where a stand-in listens. */
export interface ListeningAddress {
  readonly host: string
  readonly port: number
}

/** Something that listens, as the executables run it. */
export abstract class StandIn {
  /** Starts to listen; port 0 takes any free port. The result may have further addresses. */
  abstract listen (address: ListeningAddress): Promise<ListeningAddress>
  /** Stops to listen and closes all connections. */
  abstract close (): Promise<void>
}

/** Request body that exceeds its limit. */
class BodyTooLarge extends Error {}
/** Request body that does not match its schema. */
class InvalidBody extends Error {}

// Longer than the idle time that briarsaddle's clients use, so that the client closes idle connections first.
const keepAliveTimeoutMilliseconds = 60_000
const maximumControlBodyBytes = 4 * 1024 * 1024

/** A stand-in that speaks HTTP. */
export abstract class HttpStandIn extends StandIn {
  protected readonly app: Polka
  protected readonly server: Server

  constructor (onNoMatch?: Middleware) {
    super()
    this.server = createServer({ keepAliveTimeout: keepAliveTimeoutMilliseconds })
    this.app = polka({ server: this.server, onError: answerError, ...(onNoMatch !== undefined && { onNoMatch }) })
  }

  async listen ({ host, port }: ListeningAddress): Promise<ListeningAddress> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.app.listen({ host, port }, resolve)
    })
    const address = this.server.address() as AddressInfo
    return { host: address.address, port: address.port }
  }

  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve())
      this.server.closeAllConnections()
    })
  }

  /** Registers a control request whose JSON body is parsed with `schema`; the answer is what `handle` returns. */
  protected control<Schema extends z.ZodType> (path: string, schema: Schema, handle: (body: z.output<Schema>) => unknown): void {
    this.app.post(path, async (request, response) => {
      sendJson(response, 200, await handle(await readJson(request, schema)))
    })
  }
}

/** Answers with JSON. */
export function sendJson (response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}

/** Reads a whole body as text. */
export async function readText (request: IncomingMessage, maximumBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length > maximumBytes) throw new BodyTooLarge(`the body exceeds ${maximumBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Reads and parses a JSON body. */
export async function readJson<Schema extends z.ZodType> (request: IncomingMessage, schema: Schema): Promise<z.output<Schema>> {
  const result = schema.safeParse(parseJson(await readText(request, maximumControlBodyBytes)))
  if (!result.success) throw new InvalidBody(z.prettifyError(result.error))
  return result.data
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new InvalidBody(describeError(error))
  }
}

function answerError (error: unknown, request: IncomingMessage, response: ServerResponse): void {
  if (response.headersSent || response.destroyed) return
  const statusOf = (): number => {
    if (error instanceof BodyTooLarge) return 413
    if (error instanceof InvalidBody) return 400
    return (error as { status?: number }).status ?? 500
  }
  // The rest of an oversized body is not read, so the connection cannot be used again.
  const headers: Record<string, string> = error instanceof BodyTooLarge ? { connection: 'close' } : {}
  sendJson(response, statusOf(), { error: error instanceof Error ? error.message : `no such resource: ${request.url}` }, headers)
}
