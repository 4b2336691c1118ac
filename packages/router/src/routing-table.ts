import { z } from 'zod'

const targetSchema = z.object({ pool: z.string(), weight: z.number().nonnegative() }).readonly()

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Prefix of the paths of this route; begins and ends with a slash. */
  pathPrefix: z.string(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time from the arrival of a request to its answer. */
  timeoutMilliseconds: z.number().positive(),
  /** Time within which an answer is of full use to the caller. */
  objectiveMilliseconds: z.number().nonnegative(),
  /** Urgency of the route; 0 is the most urgent. */
  rank: z.number(),
  /** How many times one request may be sent; the router allows two even if this is 1. */
  attempts: z.int().positive(),
  targets: z.array(targetSchema).min(1).readonly()
}).readonly()

const poolSchema = z.object({
  name: z.string(),
  /** Whether each key is owned by one endpoint. */
  keyed: z.boolean(),
  /** Largest number of connections that one endpoint accepts in total. */
  maximumConnections: z.int().positive()
}).readonly()

const limitsSchema = z.object({
  maximumBodyBytes: z.int().positive(),
  headersMilliseconds: z.number().positive(),
  keepAliveMilliseconds: z.number().positive()
}).readonly()

/** The routing rules that the operator published last. */
export const routingTableSchema = z.object({
  version: z.int().nonnegative(),
  routes: z.array(routeSchema).readonly(),
  pools: z.array(poolSchema).readonly(),
  limits: limitsSchema.optional()
}).readonly()

/** Routes, pools and limits of one published version. */
export type RoutingTable = z.infer<typeof routingTableSchema>
/** Rule that assigns the requests of a host and path prefix to pools. */
export type Route = z.infer<typeof routeSchema>
/** Pool to which a route sends requests, with its weight. */
export type RouteTarget = z.infer<typeof targetSchema>
/** Group of endpoints that serve the same requests. */
export type Pool = z.infer<typeof poolSchema>
