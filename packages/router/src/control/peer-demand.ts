import { describeError, Logger } from '@briarsaddle/common'
import { mergeKeyDemand, type VmEntry } from '@briarsaddle/key-ranges'
import type { EndpointKeyLoad, FetchKeyLoadsResponse, PeerClient, VmRecord } from '@briarsaddle/protocol'
import type { RangeControlHandler } from '../request/inner-handlers.js'
import type { PoisonList } from '../poison/poison-list.js'
import type { ReadPositionMonitor } from './read-position-monitor.js'
import { DemandSource, type MeasuredDemand } from './key-leader.js'
import type { RosterReport, VmRoster } from './vm-roster.js'

const logger = new Logger('demand')
const callMilliseconds = 400
// Concurrent calls. If all VMs answered at once, a VM with a third of a core would need longer than the timeout of a call to read
// the answers, and connections with overdue calls are closed.
const maximumConcurrentCalls = 12

/** The other VMs, which are asked for the demand that they measured. */
export interface DemandPeers {
  readonly vms: readonly string[]
  get (vm: string): Pick<PeerClient, 'fetchKeyLoads'> | undefined
}

/** Collects the demand from all VMs that coordinate endpoints, including this VM, tells the roster which VMs answered, and learns under which requests endpoints crashed. */
export class PeerDemand extends DemandSource {
  readonly #peers: DemandPeers
  readonly #own: Pick<RangeControlHandler, 'fetchKeyLoads'>
  readonly #readPositions: Pick<ReadPositionMonitor, 'own' | 'observePeer'>
  readonly #roster: Pick<VmRoster, 'applyRound'>
  readonly #poison: Pick<PoisonList, 'merge'>

  constructor (peers: DemandPeers, own: Pick<RangeControlHandler, 'fetchKeyLoads'>, readPositions: Pick<ReadPositionMonitor, 'own' | 'observePeer'>, roster: Pick<VmRoster, 'applyRound'>, poison: Pick<PoisonList, 'merge'>) {
    super()
    this.#poison = poison
    this.#roster = roster
    this.#readPositions = readPositions
    this.#peers = peers
    this.#own = own
  }

  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> {
    const own = await this.#own.fetchKeyLoads(this.#readPositions.own)
    const answers = new Map<string, FetchKeyLoadsResponse | undefined>()
    const vms = [...this.#peers.vms]
    const askRemaining = async (): Promise<void> => {
      for (let vm = vms.pop(); vm !== undefined; vm = vms.pop()) answers.set(vm, await this.#ask(vm))
    }
    await Promise.all(Array.from({ length: maximumConcurrentCalls }, askRemaining))
    this.#roster.applyRound(new Map([...answers].map(([vm, answer]) => [vm, answer === undefined ? undefined : rosterReport(answer)])), rosterReport(own))
    const demand = new Map<string, MeasuredDemand>()
    for (const report of [own, ...answers.values()].flatMap(answer => answer?.endpoints ?? [])) demand.set(report.endpoint, addReport(demand.get(report.endpoint), report))
    return demand
  }

  /** Returns the report of a VM, or undefined when it does not answer. */
  async #ask (vm: string): Promise<FetchKeyLoadsResponse | undefined> {
    try {
      const response = await this.#peers.get(vm)?.fetchKeyLoads(this.#readPositions.own, callMilliseconds)
      if (response !== undefined) {
        this.#readPositions.observePeer(response)
        this.#poison.merge(response.poisonRequests)
      }
      return response
    } catch (error) {
      logger.info('a VM did not report its demand', { peer: vm, error: describeError(error) })
      return undefined
    }
  }
}

function rosterReport ({ watchers, leaving, cutOffPools, reachedPools, load, endpoints }: FetchKeyLoadsResponse): RosterReport {
  return {
    leaving,
    cutOffPools,
    reachedPools,
    load,
    endpointRates: new Map(endpoints.map(({ endpoint, requestsPerSecond }) => [endpoint, requestsPerSecond])),
    watchers: watchers.flatMap(({ vm, openMilliseconds }) => vm === undefined ? [] : { vm: vmEntry(vm), openMilliseconds })
  }
}

function vmEntry ({ id, host, port, dataCentre, weight, level }: VmRecord): VmEntry {
  return { id, host, port, dataCentre, ...(weight > 0 ? { weight } : {}), ...(level > 0 ? { level } : {}) }
}

/**
 * Adds up the reports on one endpoint: two VMs may both have sent to it, for example while its coordinator changed. Service times
 * are weighted by the slots that they kept busy; 0 means not known.
 */
function addReport (before: MeasuredDemand | undefined, { busySlots, serviceMilliseconds, keys, usableSlots }: EndpointKeyLoad): MeasuredDemand {
  if (before === undefined) return { busySlots, serviceMilliseconds, keys: mergeKeyDemand(keys), ...(usableSlots === undefined ? {} : { usableSlots }) }
  const usable = [before.usableSlots, usableSlots].filter(slots => slots !== undefined)
  return {
    busySlots: before.busySlots + busySlots,
    serviceMilliseconds: weightedMean([before, { busySlots, serviceMilliseconds }]),
    keys: mergeKeyDemand([...before.keys, ...keys]),
    ...(usable.length === 0 ? {} : { usableSlots: Math.min(...usable) })
  }
}

function weightedMean (reports: ReadonlyArray<Pick<MeasuredDemand, 'busySlots' | 'serviceMilliseconds'>>): number {
  const known = reports.filter(report => report.serviceMilliseconds > 0)
  const weight = known.reduce((sum, report) => sum + report.busySlots, 0)
  if (weight === 0) return known[0]?.serviceMilliseconds ?? 0
  return known.reduce((sum, report) => sum + report.serviceMilliseconds * report.busySlots, 0) / weight
}
