import type { Socket } from 'node:net'

/** Where data flows to. */
export type Direction = 'to-target' | 'to-client'

/** Faults that apply to a connection at present. */
export interface ConnectionFaults {
  readonly delayMilliseconds: () => number
  readonly silent: (direction: Direction) => boolean
  /** Called for each piece of data from the target; true destroys the connection instead of passing it on. */
  readonly dropAnswer: () => boolean
  readonly closed: () => void
}

/** Data, or the end or the loss of a socket, on its way to the other socket. */
type Event = { readonly kind: 'data', readonly chunk: Buffer } | { readonly kind: 'end' } | { readonly kind: 'lost' }

const maximumHeldBytes = 1024 * 1024

/** A client's connection and the connection to the target that belongs to it. */
export class ProxiedConnection {
  readonly #client: Socket
  readonly #target: Socket
  readonly #faults: ConnectionFaults
  readonly #flows: readonly Flow[]
  #silencedForGood = false
  #destroyed = false

  constructor (client: Socket, target: Socket, faults: ConnectionFaults) {
    this.#client = client
    this.#target = target
    this.#faults = faults
    const silent = (direction: Direction) => (): boolean => this.#silencedForGood || faults.silent(direction)
    this.#flows = [
      new Flow(client, target, { delayMilliseconds: faults.delayMilliseconds, silent: silent('to-target'), accept: () => true, lost: () => this.destroy() }),
      new Flow(target, client, { delayMilliseconds: faults.delayMilliseconds, silent: silent('to-client'), accept: () => this.#acceptAnswer(), lost: () => this.destroy() })
    ]
  }

  /** Passes on what is due. Called when the faults have changed. */
  flush (): void {
    for (const flow of this.#flows) flow.flush()
  }

  /** From now on nothing is passed on, not even that a side has closed. */
  silenceForGood (): void {
    this.#silencedForGood = true
  }

  /** Resets both sockets. */
  destroy (): void {
    if (this.#destroyed) return
    this.#destroyed = true
    for (const flow of this.#flows) flow.stop()
    this.#client.resetAndDestroy()
    this.#target.resetAndDestroy()
    this.#faults.closed()
  }

  #acceptAnswer (): boolean {
    if (!this.#faults.dropAnswer()) return true
    this.destroy()
    return false
  }
}

interface FlowOptions {
  readonly delayMilliseconds: () => number
  readonly silent: () => boolean
  readonly accept: () => boolean
  readonly lost: () => void
}

/** One direction of a connection. */
class Flow {
  readonly #from: Socket
  readonly #to: Socket
  readonly #options: FlowOptions
  readonly #queue: Array<{ readonly event: Event, readonly dueAt: number }> = []
  #heldBytes = 0
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (from: Socket, to: Socket, options: FlowOptions) {
    this.#from = from
    this.#to = to
    this.#options = options
    from.on('data', chunk => this.#push({ kind: 'data', chunk: chunk as Buffer }))
    from.on('end', () => this.#push({ kind: 'end' }))
    from.on('error', () => this.#push({ kind: 'lost' }))
    from.on('close', () => this.#closed())
    to.on('drain', () => this.#limitReading())
  }

  flush (): void {
    clearTimeout(this.#timer)
    while (!this.#stopped && this.#queue[0] !== undefined && !this.#options.silent()) {
      const wait = this.#queue[0].dueAt - performance.now()
      if (wait > 0) {
        this.#timer = setTimeout(() => this.flush(), wait)
        break
      }
      this.#deliver((this.#queue.shift() as { readonly event: Event }).event)
    }
    this.#limitReading()
  }

  stop (): void {
    this.#stopped = true
    clearTimeout(this.#timer)
    this.#queue.length = 0
  }

  #push (event: Event): void {
    if (this.#stopped) return
    if (event.kind === 'data') this.#heldBytes += event.chunk.length
    this.#queue.push({ event, dueAt: performance.now() + this.#options.delayMilliseconds() })
    this.flush()
  }

  #closed (): void {
    // A socket that ended in both directions closes without news for the other side.
    if (!this.#from.readableEnded) this.#push({ kind: 'lost' })
    else if (this.#to.destroyed) this.#options.lost()
  }

  #deliver (event: Event): void {
    if (event.kind === 'lost') return this.#options.lost()
    if (event.kind === 'end') {
      this.#to.end()
      return
    }
    this.#heldBytes -= event.chunk.length
    if (this.#options.accept()) this.#to.write(event.chunk)
  }

  #limitReading (): void {
    if (this.#stopped || this.#from.destroyed) return
    if (this.#heldBytes > maximumHeldBytes || this.#to.writableNeedDrain) this.#from.pause()
    else this.#from.resume()
  }
}
