import type { Clock, Random } from '@briarsaddle/common'

/** How one request ended. */
export interface RequestEnd {
  /** Number of outstanding requests of the endpoint that its coordinator reported with the answer; undefined without a report. */
  readonly outstanding?: number | undefined
  /** Time until the request ended; undefined for a refused request, whose time is no measure of the endpoint's latency. */
  readonly milliseconds: number | undefined
  /** True if the endpoint or its coordinator failed; false for a refusal or an error of the caller. */
  readonly failed: boolean
}

/** Options of an `EndpointChooser`. */
export interface EndpointChooserOptions {
  readonly clock: Clock
  readonly random: Random
}

/** Chooses the endpoint for a request to a pool that is not partitioned by key. */
export abstract class EndpointChooser {
  protected readonly clock: Clock
  protected readonly random: Random

  constructor ({ clock, random }: EndpointChooserOptions) {
    this.clock = clock
    this.random = random
  }

  /** Returns one of the candidates that are not excluded, or undefined if there is none. */
  abstract choose (candidates: readonly string[], excluded?: ReadonlySet<string>): string | undefined
  /** Records that a request was sent to the endpoint. */
  abstract started (endpoint: string): void
  /** Records how a request ended. */
  abstract finished (endpoint: string, end: RequestEnd): void

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {}
  }

  /** Returns the candidates that are not excluded. */
  protected without (candidates: readonly string[], excluded: ReadonlySet<string> | undefined): readonly string[] {
    return excluded === undefined || excluded.size === 0 ? candidates : candidates.filter(candidate => !excluded.has(candidate))
  }
}

/** Chooses a random endpoint; the baseline for measurements. */
export class RandomChoice extends EndpointChooser {
  override choose (candidates: readonly string[], excluded?: ReadonlySet<string>): string | undefined {
    const allowed = this.without(candidates, excluded)
    return allowed.length === 0 ? undefined : this.random.pick(allowed)
  }

  override started (): void {}
  override finished (): void {}
}
