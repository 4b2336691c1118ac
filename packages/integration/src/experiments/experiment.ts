import type { RunResult, Scenario } from '@briarsaddle/load'
import type { Deployment } from '../bed/index.js'

/** Names of the firms whose deployments are measured. */
export const firms = ['atlas', 'ostrina'] as const
/** A firm whose deployment is measured. */
export type Firm = typeof firms[number]

/** What an experiment is run with. */
export interface ExperimentOptions {
  readonly firm: Firm
  readonly scenario: Scenario
  readonly seed: number
  /** Length of one run; undefined for the default of the experiment. */
  readonly seconds: number | undefined
  /** By how much service times are longer and rates lower than in the firm's scenario; `scenario` has the result. */
  readonly slowdown: number
  /** Base rate in requests per second; undefined for that of the experiment. */
  readonly rate: number | undefined
}

/** Switches of `[experiments]` in the daemon's settings. */
export interface VariantSettings {
  readonly scheduling?: 'classes' | 'fifo'
  readonly endpointChoice?: 'two-choices' | 'random'
  readonly admission?: boolean
  readonly retryBudget?: boolean
  readonly longJobRelief?: boolean
}

/** One run of an experiment, on a deployment of its own. */
export interface Variant {
  readonly name: string
  readonly phase: string
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly settings: VariantSettings
  /** Changes the deployment after the warm-up and before the run. */
  readonly prepare?: (deployment: Deployment) => Promise<void>
}

/** A stated figure. `met` is undefined for figures without a target. */
export interface Finding {
  readonly name: string
  readonly value: number
  readonly target: string
  readonly met: boolean | undefined
}

/** Returns the result of a variant by its name. */
export type ResultOf = (variant: string) => RunResult

/** Compares variants of the deployment under the same load. */
export abstract class Experiment {
  abstract readonly name: string
  abstract readonly description: string
  /** The first variant is the baseline of the table. */
  abstract variants (options: ExperimentOptions): readonly Variant[]
  abstract findings (resultOf: ResultOf, options: ExperimentOptions): readonly Finding[]
}

/** Returns a figure that must not exceed a limit. */
export function atMost (name: string, value: number, limit: number): Finding {
  return { name, value, target: `at most ${limit}`, met: value <= limit }
}

/** Returns a figure that must reach a limit. */
export function atLeast (name: string, value: number, limit: number): Finding {
  return { name, value, target: `at least ${limit}`, met: value >= limit }
}

/** Returns a figure without a target. */
export function figure (name: string, value: number): Finding {
  return { name, value, target: '', met: undefined }
}
