import type { Clock, Random } from '@briarsaddle/common'

/** How one request ended. */
export interface RequestEnd {
  /** Outstanding requests of the endpoint as its coordinator reported them with the answer; undefined without a report. */
  readonly outstanding?: number | undefined
  /** Time until the request ended; undefined for one that was refused, which says nothing about the endpoint's speed. */
  readonly milliseconds: number | undefined
  /** True when the endpoint or its coordinator failed; not for a refusal or an error of the caller. */
  readonly failed: boolean
}

/** Settings of a chooser. */
export interface EndpointChooserOptions {
  readonly clock: Clock
  readonly random: Random
}

/** Chooses the endpoint of a pool that is not partitioned by key. */
export abstract class EndpointChooser {
  protected readonly clock: Clock
  protected readonly random: Random

  constructor ({ clock, random }: EndpointChooserOptions) {
    this.clock = clock
    this.random = random
  }

  /** Returns one of the candidates that are not excluded, or undefined when there is none. */
  abstract choose (candidates: readonly string[], excluded?: ReadonlySet<string>): string | undefined
  /** Records that a request was sent to the endpoint. */
  abstract started (endpoint: string): void
  /** Records how a request ended. */
  abstract finished (endpoint: string, end: RequestEnd): void

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {}
  }

  protected without (candidates: readonly string[], excluded: ReadonlySet<string> | undefined): readonly string[] {
    return excluded === undefined || excluded.size === 0 ? candidates : candidates.filter(candidate => !excluded.has(candidate))
  }
}

/** Chooses at random; the baseline for measurements. */
export class RandomChoice extends EndpointChooser {
  override choose (candidates: readonly string[], excluded?: ReadonlySet<string>): string | undefined {
    const allowed = this.without(candidates, excluded)
    return allowed.length === 0 ? undefined : this.random.pick(allowed)
  }

  override started (): void {}
  override finished (): void {}
}
