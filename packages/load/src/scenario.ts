import { z } from 'zod'

const fraction = z.number().min(0).max(1)

/** One kind of request. `:key` in the path is replaced by a key. Times are milliseconds. */
const requestKindSchema = z.object({
  name: z.string(),
  method: z.enum(['GET', 'POST']),
  path: z.string().startsWith('/'),
  pool: z.string(),
  serviceClass: z.enum(['prompt', 'normal', 'long']),
  idempotent: z.boolean(),
  /** Share of the requests relative to the other kinds. */
  weight: z.number().nonnegative(),
  service: z.object({ meanMilliseconds: z.number().positive(), distribution: z.enum(['exponential', 'uniform']) }).readonly(),
  deadlineMilliseconds: z.number().positive()
}).readonly()

/** Several requests of one kind that one caller sends for the same key at the same moment. */
const burstSchema = z.object({
  /** When, as a fraction of the duration. */
  at: fraction,
  kind: z.string(),
  key: z.string(),
  requests: z.number().int().positive()
}).readonly()

const phaseSchema = z.object({
  /** Rate relative to the base rate, linear between the points; `at` is a fraction of the duration. */
  rate: z.array(z.object({ at: fraction, factor: z.number().nonnegative() }).readonly()).min(1).readonly(),
  /** The time of interest, in fractions of the duration. */
  window: z.object({ from: fraction, to: fraction }).readonly(),
  /** Share of keyed requests that go to one key within the window. */
  flareShare: fraction.optional(),
  /** Weights that replace those of the kinds within the window. */
  weights: z.record(z.string(), z.number().nonnegative()).optional(),
  /** Requests in addition to the random arrivals, which stay the same with and without them. */
  bursts: z.array(burstSchema).readonly().optional()
}).readonly()

/** Schema of a scenario. */
export const scenarioSchema = z.object({
  name: z.string(),
  /** Base rate that loads the pools to about half, in requests per second. */
  requestsPerSecond: z.number().positive(),
  pools: z.array(z.object({ pool: z.string(), endpoints: z.number().int().positive(), slots: z.number().int().positive(), keyed: z.boolean() }).readonly()).readonly(),
  keys: z.number().int().positive(),
  /** Zipf exponent of the popularity of keys; 0 means that all are equally popular. */
  keySkew: z.number().nonnegative(),
  kinds: z.array(requestKindSchema).min(1).readonly(),
  phases: z.record(z.string(), phaseSchema)
}).readonly()

/** A firm's traffic. */
export type Scenario = z.infer<typeof scenarioSchema>
/** One kind of request. */
export type RequestKind = z.infer<typeof requestKindSchema>
/** Several requests for one key at one moment. */
export type Burst = z.infer<typeof burstSchema>
/** The course of one experiment. */
export type Phase = z.infer<typeof phaseSchema>
