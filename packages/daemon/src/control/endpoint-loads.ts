import type { Random } from '@briarsaddle/common'
import type { EndpointLoad } from '@briarsaddle/scheduling'
import type { ControlView } from '../contracts.js'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'

/** Endpoints of the pool that are asked for their load, so that the cost does not grow with the pool. */
const askedEndpoints = 6

/** Asks coordinators for the loads of endpoints. */
export abstract class LoadSource {
  abstract fetch (vm: string, endpoints: readonly string[]): Promise<readonly EndpointLoad[]>
}

/** Loads of the endpoints of this VM and of others. */
export class EndpointLoads {
  readonly #self: string
  readonly #view: ControlView
  readonly #coordinator: Coordinator
  readonly #source: LoadSource
  readonly #random: Random

  constructor (options: { readonly self: string, readonly view: ControlView, readonly coordinator: Coordinator, readonly source: LoadSource, readonly random: Random }) {
    this.#self = options.self
    this.#view = options.view
    this.#coordinator = options.coordinator
    this.#source = options.source
    this.#random = options.random
  }

  /** The load of an endpoint of this VM. */
  loadOf (session: EndpointSession): EndpointLoad {
    const accepting = session.grants.state === 'active' && session.grants.ready && !session.grants.draining
    return session.load.load(session.description.id, session.queue.slots, session.longWork.count, accepting)
  }

  /** Loads of the endpoints that this VM coordinates, for other VMs. */
  own (endpoints: readonly string[]): readonly EndpointLoad[] {
    return endpoints.flatMap(id => {
      const session = this.#coordinator.session(id)
      return session === undefined ? [] : [this.loadOf(session)]
    })
  }

  /** Loads of a few other endpoints of the pool, chosen at random. Those whose coordinator does not answer are left out. */
  async others (pool: string, without: string): Promise<readonly EndpointLoad[]> {
    const candidates = [...this.#view.state.endpoints.values()].filter(({ description, leaving }) => description.pool === pool && description.id !== without && !leaving)
    const byVm = new Map<string, string[]>()
    for (let count = 0; count < askedEndpoints && candidates.length > 0; count++) {
      const [chosen] = candidates.splice(this.#random.integer(0, candidates.length - 1), 1)
      if (chosen !== undefined) byVm.set(chosen.coordinator.vm, [...byVm.get(chosen.coordinator.vm) ?? [], chosen.description.id])
    }
    const answers = await Promise.allSettled([...byVm].map(async ([vm, ids]) => vm === this.#self ? this.own(ids) : await this.#source.fetch(vm, ids)))
    return answers.flatMap(answer => answer.status === 'fulfilled' ? answer.value : [])
  }
}
