import { z } from 'zod'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { HttpChannel, parseAnswer } from './http-channel.js'
import { listedVmSchema, VmListClient, type ListedVm } from './vm-list-client.js'

/** Options of an HTTP VM list client; times in milliseconds. */
export interface HttpVmListClientOptions {
  /** Address of the service, for example `http://127.0.0.1:7001`. */
  readonly origin: string
  /** Limit of the time for a fetch. Default 1000. */
  readonly timeoutMilliseconds?: number
  /** Limit of the time to open a connection. Default 500. */
  readonly connectTimeoutMilliseconds?: number
  /** Idle connections are closed after this time. Default 4000. */
  readonly keepAliveMilliseconds?: number
  /** Maximum size of the list as received, in bytes. Default 4 MiB. */
  readonly maximumAnswerBytes?: number
}

const defaults = { timeoutMilliseconds: 1000, connectTimeoutMilliseconds: 500, keepAliveMilliseconds: 4000, maximumAnswerBytes: 4 * 1024 * 1024 }
const connections = 2
const step = 'fetch VM list'
const listSchema = z.array(listedVmSchema).readonly()

/** Client of the VM list over HTTP. */
export class HttpVmListClient extends VmListClient {
  readonly #options: HttpVmListClientOptions & typeof defaults
  readonly #channel: HttpChannel
  /** Last list and its text. The list rarely changes, and comparing the text costs less than parsing it. */
  #last: { readonly text: string, readonly vms: readonly ListedVm[] } | undefined

  constructor (options: HttpVmListClientOptions) {
    super()
    this.#options = { ...defaults, ...options }
    this.#channel = new HttpChannel(options.origin, { ...this.#options, connections })
  }

  async fetch (signal?: AbortSignal): Promise<readonly ListedVm[]> {
    const { origin, timeoutMilliseconds } = this.#options
    const result = await this.#channel.call({ method: 'GET', path: '/vms', timeoutMilliseconds, signal })
    if ('failure' in result) throw this.#unavailable(result.failure.reason)
    if (result.answer.status !== 200) throw this.#unavailable(`status ${result.answer.status}`)
    const text = result.answer.body
    if (this.#last?.text === text) return this.#last.vms
    try {
      const vms = parseAnswer(listSchema, result.answer, step, origin)
      this.#last = { text, vms }
      return vms
    } catch (error) {
      throw this.#unavailable(describeError(error))
    }
  }

  /** Closes all connections; a fetch in progress fails. */
  async close (): Promise<void> {
    await this.#channel.close()
  }

  #unavailable (reason: string): BriarsaddleError {
    return new BriarsaddleError(`could not fetch the VM list: ${reason}`, { code: 'vm_list_unavailable', step, peer: this.#options.origin })
  }
}
