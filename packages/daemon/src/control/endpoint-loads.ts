import type { Random } from '@briarsaddle/common'
import type { EndpointLoad } from '@briarsaddle/scheduling'
import type { ControlView } from '../contracts.js'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'

/** Number of endpoints of a pool whose load is sampled, so that the cost does not grow with the size of the pool. */
const askedEndpoints = 6

/** Fetches the loads of endpoints from their coordinator. */
export abstract class LoadSource {
  abstract fetch (vm: string, endpoints: readonly string[]): Promise<readonly EndpointLoad[]>
}

/** Provides the loads of endpoints that this VM and other VMs coordinate. */
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

  /** Returns the load of an endpoint that this VM coordinates. */
  loadOf (session: EndpointSession): EndpointLoad {
    const accepting = session.grants.state === 'active' && session.grants.ready && !session.grants.draining
    return session.load.load(session.description.id, session.queue.slots, session.longWork.count, accepting)
  }

  /** Returns the loads of those of the given endpoints that this VM coordinates. */
  own (endpoints: readonly string[]): readonly EndpointLoad[] {
    return endpoints.flatMap(id => {
      const session = this.#coordinator.session(id)
      return session === undefined ? [] : [this.loadOf(session)]
    })
  }

  /** Returns the loads of a random sample of the other endpoints of the pool. Omits endpoints whose coordinator does not respond. */
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
