import { z } from 'zod'

const latencySchema = z.object({ count: z.number(), p50: z.number(), p99: z.number(), max: z.number() }).readonly()
const countsSchema = z.record(z.string(), z.number())

const classResultSchema = z.object({
  planned: z.number(),
  answeredInTime: z.number(),
  deadlineMisses: z.number(),
  /** Requests that were not refused and not answered in time, whatever they were told. */
  acceptedNotInTime: z.number(),
  /** Of answered requests, from the planned arrival, in milliseconds. */
  latency: latencySchema,
  /** Latency without the service time, in milliseconds. */
  waiting: latencySchema
}).readonly()

const measuresSchema = z.object({
  /** Per pool: work of the busiest endpoint relative to the mean, and coefficient of variation. */
  loadImbalance: z.record(z.string(), z.object({ maximumToMean: z.number(), variation: z.number(), endpoints: z.number() }).readonly()),
  churn: z.object({
    /** Changes of the answering endpoint between successive answers for one key. */
    keyOwnerChanges: z.number(),
    /** Changes of the holder of a bucket according to the endpoints' records; -1 without records. */
    bucketMoves: z.number()
  }).readonly(),
  /** Time from the first request that failed for lack of an owner to the next answer, per key. Milliseconds. */
  unavailable: z.object({ spans: z.number(), totalMilliseconds: z.number(), longestMilliseconds: z.number() }).readonly(),
  /** Within the window of the phase. */
  windowService: z.object({ planned: z.number(), inTimeShare: z.number(), p99: z.number(), goodputPerSecond: z.number() }).readonly(),
  /** Waiting of prompt and normal requests, in milliseconds; `ratio` is p99 within the window to p99 outside. */
  headOfLineBlocking: z.object({ p99InWindow: z.number(), p99Outside: z.number(), ratio: z.number() }).readonly()
}).readonly()

/** What a run recorded; the format of `--json`. */
export const resultSchema = z.object({
  format: z.literal(1),
  scenario: z.string(),
  phase: z.string(),
  seed: z.number(),
  requestsPerSecond: z.number(),
  durationSeconds: z.number(),
  targets: z.array(z.string()).readonly(),
  startedAt: z.string(),
  planned: z.number(),
  goodputPerSecond: z.number(),
  classes: z.record(z.string(), classResultSchema),
  kinds: z.record(z.string(), classResultSchema),
  /** Requests of the phase's window: per class, and `short` for all that are not long. */
  window: z.record(z.string(), classResultSchema),
  /** Per pool: slot time spent on requests answered in time and before the end of the run, relative to all slot time. */
  pools: z.record(z.string(), z.object({
    /** By the planned service times. */
    usefulShare: z.number(),
    /** By the times that the endpoints recorded, which include their own overhead; -1 without records. */
    recordedUsefulShare: z.number(),
    /** Requests that reached the pool's endpoints, for each planned request: more than 1 shows repeats; -1 without records. */
    attemptsPerRequest: z.number().default(-1),
    /** Where the slot time went, as shares that add up to 1; undefined without records. */
    slotTime: z.object({
      /** Requests answered in time and before the end of the run. */
      useful: z.number(),
      /** The part within the run of requests that were answered in time, but after the end of the run. */
      usefulAtEnd: z.number(),
      /** Requests that were cut off, cancelled, failed or answered too late. */
      wasted: z.number(),
      /** Idle between two requests while one waited, for no longer than the ways between the processes explain. */
      handOver: z.number(),
      /** Idle for longer while a request waited that was later run by the endpoint. */
      idleWhileQueued: z.number(),
      idleWithEmptyQueue: z.number()
    }).readonly().optional()
  }).readonly()),
  refusals: countsSchema,
  /** Time until a refusal arrived, in milliseconds. */
  refusalLatency: latencySchema,
  refusalsWithoutRetryAfter: z.number(),
  unknown: countsSchema,
  deadlineMisses: z.number(),
  measures: measuresSchema,
  /** From the endpoints' records; undefined without them. */
  violations: z.object({ ranTwice: z.number(), reportedNotRunButRan: z.number(), recordsIncomplete: z.boolean() }).readonly().optional(),
  /** How late the tool itself was; when this is large, its figures are not to be used. */
  sendDelay: latencySchema,
  /** Requests that waited in the tool for a connection; they show the tool's limit, not the router's. */
  waitedForConnection: z.number(),
  /** Per second of the planned arrival. */
  series: z.array(z.object({ planned: z.number(), answeredInTime: z.number(), refused: z.number(), p99: z.number() }).readonly()).readonly(),
  /** State dumps before and after the run. */
  administration: z.object({ before: z.unknown(), after: z.unknown() }).readonly().optional()
}).readonly()

/** What a run recorded. */
export type RunResult = z.infer<typeof resultSchema>
/** Figures of one class or kind of requests. */
export type ClassResult = z.infer<typeof classResultSchema>
/** The five measures. */
export type Measures = z.infer<typeof measuresSchema>
/** Summary of a histogram. */
export type LatencySummary = z.infer<typeof latencySchema>
