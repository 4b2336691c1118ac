import { BriarsaddleError, describeError, errorCode } from '@briarsaddle/common'
import { request } from 'undici'
import { z } from 'zod'

/** A call to the administration interface of a VM. */
export interface AdministrationCall {
  readonly method: 'GET' | 'POST'
  /** Path without a query, such as `/owner`. */
  readonly path: string
  readonly query?: Readonly<Record<string, string>>
  readonly body?: unknown
}

const callTimeoutMilliseconds = 15_000
const errorSchema = z.object({ error: z.object({ code: z.string().optional(), message: z.string().optional() }) })

// Errors that occur before any byte of the request is sent.
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** Error codes of the daemon that are passed on, whatever the status of the answer is. */
const outcomeCodes: ReadonlySet<string> = new Set(['log_unavailable', 'log_unknown', 'outcome_unknown', 'not_found', 'refused'])

/** Client of the administration interface of one VM. */
export class AdministrationClient {
  readonly #origin: string
  readonly #token: string

  constructor (origin: string, token: string) {
    this.#origin = origin
    this.#token = token
  }

  /**
   * Makes one call and returns the parsed JSON answer. Throws `bad_input`, `refused`, `not_found`,
   * `administration_unavailable`, the code of a log error that the daemon reports, or `outcome_unknown` when a POST may have
   * taken effect.
   */
  async call (call: AdministrationCall): Promise<unknown> {
    const { status, text } = await this.#send(call)
    if (status >= 200 && status < 300) return this.#parse(call, text)
    throw this.#statusError(call, status, text)
  }

  async #send (call: AdministrationCall): Promise<{ readonly status: number, readonly text: string }> {
    const url = new URL(call.path, this.#origin)
    for (const [name, value] of Object.entries(call.query ?? {})) url.searchParams.set(name, value)
    try {
      const response = await request(url, {
        method: call.method,
        headers: { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json' },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: AbortSignal.timeout(callTimeoutMilliseconds)
      })
      return { status: response.statusCode, text: await response.body.text() }
    } catch (error) {
      const code = connectErrorCodes.has(errorCode(error)) ? 'administration_unavailable' : this.#codeWithoutAnswer(call)
      throw this.#error(call, code, `${this.#origin} did not answer: ${describeError(error) || errorCode(error)}`, error)
    }
  }

  #parse (call: AdministrationCall, text: string): unknown {
    try {
      return JSON.parse(text)
    } catch (error) {
      throw this.#error(call, this.#codeWithoutAnswer(call), `${this.#origin} sent an answer that is not JSON`, error)
    }
  }

  #statusError (call: AdministrationCall, status: number, text: string): BriarsaddleError {
    const { code, message } = parseErrorBody(text)
    const known = code !== undefined && outcomeCodes.has(code) ? code : this.#codeOfStatus(call, status)
    return this.#error(call, known, message ?? `${this.#origin} answered ${call.method} ${call.path} with status ${status}`)
  }

  #codeOfStatus (call: AdministrationCall, status: number): string {
    if (status === 400 || status === 413) return 'bad_input'
    if (status === 404) return 'not_found'
    if (status === 503 || status === 429) return 'administration_unavailable'
    return status < 500 ? 'refused' : this.#codeWithoutAnswer(call)
  }

  /** Returns the error code for a call without a usable answer: a POST may have taken effect, a GET changes nothing. */
  #codeWithoutAnswer (call: AdministrationCall): string {
    return call.method === 'GET' ? 'administration_unavailable' : 'outcome_unknown'
  }

  #error (call: AdministrationCall, code: string, message: string, cause?: unknown): BriarsaddleError {
    return new BriarsaddleError(message, { code, step: `${call.method} ${call.path}`, peer: this.#origin, cause })
  }
}

function parseErrorBody (text: string): Partial<z.infer<typeof errorSchema>['error']> {
  try {
    return errorSchema.parse(JSON.parse(text)).error
  } catch {
    return {}
  }
}
