import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { z } from 'zod'
import { HttpStandIn, sendJson, type ListeningAddress } from './http-stand-in.js'
import { ProxiedConnection } from './proxied-connection.js'

/** Settings of the fault proxy. */
export interface FaultProxyOptions {
  readonly targetHost: string
  readonly targetPort: number
  /** Port of the control requests; default 0, any. */
  readonly controlPort?: number
}

/** Addresses of a fault proxy. */
export interface FaultProxyAddress extends ListeningAddress {
  readonly control: ListeningAddress
}

const modeSchema = z.enum(['pass', 'cut', 'silence-existing', 'silence-to-target', 'silence-to-client', 'silence-all'])
/** What a fault proxy does with connections. */
export type FaultMode = z.infer<typeof modeSchema>

const controlSchema = z.strictObject({
  /**
   * `cut` destroys connections and refuses new ones. `silence-existing` silences the present connections for good; it
   * applies once and leaves the mode `pass`. The other silent modes hold data back until the mode changes, as a network
   * partition does that heals before TCP gives up.
   */
  mode: modeSchema.optional(),
  /** Delay of all data in each direction. */
  delayMilliseconds: z.number().nonnegative().optional(),
  /** So many further connections are destroyed when the target sends an answer, which is discarded. */
  dropAnswers: z.number().int().nonnegative().optional()
})

/** TCP proxy that injects network faults between one listening port and one target. */
export class FaultProxy extends HttpStandIn {
  readonly #options: FaultProxyOptions
  readonly #connections = new Set<ProxiedConnection>()
  readonly #counts = { accepted: 0, answersDropped: 0 }
  #proxy: Server
  #address: ListeningAddress = { host: '127.0.0.1', port: 0 }
  #mode: FaultMode = 'pass'
  #delayMilliseconds = 0
  #dropAnswers = 0

  constructor (options: FaultProxyOptions) {
    super()
    this.#options = options
    this.#proxy = this.#createProxy()
    this.app.get('/_control', (_request, response) => sendJson(response, 200, this.#state()))
    this.control('/_control', controlSchema, async body => await this.#applyControl(body))
  }

  override async listen (address: ListeningAddress): Promise<FaultProxyAddress> {
    const control = await super.listen({ host: address.host, port: this.#options.controlPort ?? 0 })
    await this.#listenProxy(address)
    const { address: host, port } = this.#proxy.address() as AddressInfo
    this.#address = { host, port }
    return { ...this.#address, control }
  }

  override async close (): Promise<void> {
    await this.#stopProxy()
    await super.close()
  }

  #createProxy (): Server {
    return createServer({ allowHalfOpen: true, noDelay: true }, client => this.#accept(client))
  }

  async #listenProxy ({ host, port }: ListeningAddress): Promise<void> {
    this.#proxy.listen({ host, port })
    await once(this.#proxy, 'listening')
  }

  async #stopProxy (): Promise<void> {
    for (const connection of this.#connections) connection.destroy()
    if (!this.#proxy.listening) return
    await new Promise<void>(resolve => { this.#proxy.close(() => resolve()) })
  }

  #accept (client: Socket): void {
    this.#counts.accepted += 1
    const target = connect({ host: this.#options.targetHost, port: this.#options.targetPort, allowHalfOpen: true, noDelay: true })
    const connection = new ProxiedConnection(client, target, {
      delayMilliseconds: () => this.#delayMilliseconds,
      silent: direction => this.#mode === 'silence-all' || this.#mode === `silence-${direction}`,
      dropAnswer: () => this.#takeDroppedAnswer(),
      closed: () => this.#connections.delete(connection)
    })
    this.#connections.add(connection)
  }

  #takeDroppedAnswer (): boolean {
    if (this.#dropAnswers === 0) return false
    this.#dropAnswers -= 1
    this.#counts.answersDropped += 1
    return true
  }

  async #applyControl (body: z.output<typeof controlSchema>): Promise<unknown> {
    this.#delayMilliseconds = body.delayMilliseconds ?? this.#delayMilliseconds
    this.#dropAnswers = body.dropAnswers ?? this.#dropAnswers
    if (body.mode !== undefined) await this.#setMode(body.mode)
    return this.#state()
  }

  async #setMode (mode: FaultMode): Promise<void> {
    const former = this.#mode
    this.#mode = mode === 'silence-existing' ? 'pass' : mode
    if (mode === 'silence-existing') {
      for (const connection of this.#connections) connection.silenceForGood()
    }
    if (mode === 'cut') return await this.#stopProxy()
    if (former === 'cut') {
      this.#proxy = this.#createProxy()
      await this.#listenProxy(this.#address)
    }
    for (const connection of this.#connections) connection.flush()
  }

  #state (): unknown {
    return {
      mode: this.#mode,
      delayMilliseconds: this.#delayMilliseconds,
      dropAnswers: this.#dropAnswers,
      connections: this.#connections.size,
      counts: this.#counts
    }
  }
}
