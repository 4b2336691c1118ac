import { describeError, Logger } from '@briarsaddle/common'
import type { EndpointKeyLoad, PeerPool } from '@briarsaddle/protocol'
import type { RangeControlHandler } from '../request/inner-handlers.js'
import type { News } from './news.js'
import { DemandSource, type MeasuredDemand } from './key-leader.js'

const logger = new Logger('demand')
const callMilliseconds = 400

/** Collects demand from the VMs that coordinate endpoints, this one included. */
export class PeerDemand extends DemandSource {
  readonly #peers: PeerPool
  readonly #own: RangeControlHandler
  readonly #news: News

  constructor (peers: PeerPool, own: RangeControlHandler, news: News) {
    super()
    this.#news = news
    this.#peers = peers
    this.#own = own
  }

  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> {
    const reports = await Promise.all([this.#own.fetchKeyLoads(this.#news.own).then(({ endpoints }) => endpoints), ...this.#peers.vms.map(async vm => await this.#ask(vm))])
    const demand = new Map<string, MeasuredDemand>()
    for (const report of reports.flat()) demand.set(report.endpoint, add(demand.get(report.endpoint), report))
    return demand
  }

  async #ask (vm: string): Promise<readonly EndpointKeyLoad[]> {
    try {
      const response = await this.#peers.get(vm)?.fetchKeyLoads(this.#news.own, callMilliseconds)
      if (response === undefined) return []
      this.#news.heard(response)
      return response.endpoints
    } catch (error) {
      logger.info('a VM did not report its demand', { peer: vm, error: describeError(error) })
      return []
    }
  }
}

/** Two VMs may both have sent to an endpoint, for example while its coordinator changed. */
function add (before: MeasuredDemand | undefined, { busySlots, serviceMilliseconds, keys }: EndpointKeyLoad): MeasuredDemand {
  if (before === undefined) return { busySlots, serviceMilliseconds, keys }
  return {
    busySlots: before.busySlots + busySlots,
    serviceMilliseconds: before.busySlots > busySlots ? before.serviceMilliseconds : serviceMilliseconds,
    keys: [...before.keys, ...keys]
  }
}
