import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ListeningAddress } from '@briarsaddle/standins'

/** TCP relay that counts the bytes of the payload in both directions. Headers of TCP and IP are not counted. */
export class ByteCounter {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #bytes = 0

  constructor (target: ListeningAddress) {
    this.#server = createServer({ noDelay: true }, client => {
      const upstream = connect({ ...target, noDelay: true })
      this.#relay(client, upstream)
      this.#relay(upstream, client)
    })
  }

  /** Bytes relayed so far in both directions. */
  get bytes (): number { return this.#bytes }

  /** Listens on a free port of loopback. */
  async listen (): Promise<ListeningAddress> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return { host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port }
  }

  /** Ends all connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #relay (from: Socket, to: Socket): void {
    this.#sockets.add(from)
    from.on('data', chunk => {
      this.#bytes += chunk.length
      to.write(chunk)
    })
    from.on('end', () => to.end())
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.#sockets.delete(from)
      to.destroy()
    })
  }
}
