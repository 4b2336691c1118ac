import { LifeCycle } from '@briarsaddle/common'
import { EntryServer } from '@briarsaddle/entry'
import type { Answer, Forward } from '@briarsaddle/protocol'
import { RandomChoice, RetryBudget, TwoChoices, UnlimitedRetries } from '@briarsaddle/scheduling'
import { administrationToken, type Address, type Settings } from '@briarsaddle/settings'
import { AdministrationServer, LogOperations, StateDump } from './administration/index.js'
import { ControlPlane } from './control-plane.js'
import { PeerPoolForwarder } from './control/peer-adapters.js'
import { PoolRunner } from './coordinator/coordinator.js'
import { RequestRouter, type AcceptedRequest } from './entry/index.js'
import { MetricsReporter } from './metrics-reporter.js'
import { Metrics } from './metrics.js'

/** Time for which a stopping VM still accepts requests, so that the platform's balancer notices the stop. */
const lameDuckMilliseconds = 1000

/** Addresses on which a daemon listens. */
export interface DaemonAddresses {
  readonly callers: Address
  readonly inner: Address
  readonly administration: Address
}

/** One VM of briarsaddle: entry, coordinator, control loops and administration. */
export class Daemon {
  readonly #settings: Settings
  readonly #lifeCycle = new LifeCycle('daemon')
  #control: ControlPlane | undefined
  #entry: EntryServer<AcceptedRequest> | undefined
  #stopping: Promise<void> | undefined

  constructor (settings: Settings) {
    this.#settings = settings
  }

  /** Starts all parts. Throws `listen_failed`. */
  async start (): Promise<DaemonAddresses> {
    const { listen, limits, vm, metrics: metricsSettings } = this.#settings
    const metrics = new Metrics({ ...metricsSettings, vm: vm.id })
    this.#lifeCycle.own('metrics', async () => await metrics.close())
    const control = await ControlPlane.start(this.#settings, metrics, this.#lifeCycle)
    this.#control = control
    const router = this.#createRouter(control, metrics)
    control.coordinator.usePoolRunner(new RouterPoolRunner(router))
    const entry = new EntryServer({ ...listen.callers, ...limits, clock: control.clock }, router)
    this.#entry = entry
    const callersPort = await entry.listen()
    this.#lifeCycle.own('entry', async () => await entry.stop(0))
    new MetricsReporter(control, metrics).start(this.#lifeCycle)
    const administrationPort = await this.#startAdministration(control, router, entry)
    return {
      callers: { host: listen.callers.host, port: callersPort },
      inner: { host: listen.inner.host, port: control.innerPort },
      administration: { host: listen.administration.host, port: administrationPort }
    }
  }

  /** Hands over the endpoints of this VM, finishes requests in flight and stops. */
  async stop (): Promise<void> {
    this.#stopping ??= this.#stop()
    return await this.#stopping
  }

  async #stop (): Promise<void> {
    const { shutdownMilliseconds } = this.#settings.timing
    // Both run at the same time: requests of callers continue while the endpoints move to other coordinators.
    await Promise.all([this.#control?.handOver(), this.#entry?.stop(shutdownMilliseconds, lameDuckMilliseconds)])
    await this.#lifeCycle.close()
  }

  #createRouter (control: ControlPlane, metrics: Metrics): RequestRouter {
    const { clock, random, hasher } = control
    const { endpointChoice, retryBudget } = this.#settings.experiments
    const Chooser = endpointChoice === 'random' ? RandomChoice : TwoChoices
    const Budget = retryBudget ? RetryBudget : UnlimitedRetries
    return new RequestRouter({
      vm: this.#settings.vm.id,
      control: control.follower,
      local: control.coordinator,
      peers: new PeerPoolForwarder(control.peers),
      hasher,
      createChooser: () => new Chooser({ clock, random }),
      createBudget: () => new Budget(),
      metrics,
      clock,
      random
    })
  }

  async #startAdministration (control: ControlPlane, router: RequestRouter, entry: EntryServer<AcceptedRequest>): Promise<number> {
    const administration = new AdministrationServer({
      ...this.#settings.listen.administration,
      token: administrationToken(this.#settings),
      control: control.follower,
      hasher: control.hasher,
      dump: new DaemonDump(control, router, entry),
      operations: new LogOperations(control.follower, control.writer),
      isServing: () => entry.serving && control.follower.started
    })
    const port = await administration.listen()
    this.#lifeCycle.own('administration', async () => await administration.close())
    return port
  }
}

class RouterPoolRunner extends PoolRunner {
  readonly #router: RequestRouter

  constructor (router: RequestRouter) {
    super()
    this.#router = router
  }

  override async run (forward: Forward, signal: AbortSignal): Promise<Answer> {
    return await this.#router.runAnywhere(forward, signal)
  }
}

class DaemonDump extends StateDump {
  readonly #control: ControlPlane
  readonly #router: RequestRouter
  readonly #entry: EntryServer<AcceptedRequest>

  constructor (control: ControlPlane, router: RequestRouter, entry: EntryServer<AcceptedRequest>) {
    super()
    this.#control = control
    this.#router = router
    this.#entry = entry
  }

  override async dump (): Promise<unknown> {
    const { rss, heapUsed } = process.memoryUsage()
    const { user, system } = process.cpuUsage()
    return {
      process: { uptimeSeconds: process.uptime(), residentBytes: rss, heapBytes: heapUsed, processorMilliseconds: (user + system) / 1000 },
      entry: { serving: this.#entry.serving, inFlight: this.#entry.inFlight, router: this.#router.snapshot() },
      control: this.#control.snapshot()
    }
  }
}
