import { z } from 'zod'

const targetSchema = z.object({ pool: z.string(), weight: z.number().nonnegative() }).readonly()

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  pathPrefix: z.string(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time from arrival to answer. */
  timeoutMilliseconds: z.number().positive(),
  /** Time within which an answer is of full use to the caller. */
  objectiveMilliseconds: z.number().nonnegative(),
  /** 0 is the most urgent. */
  rank: z.number(),
  /** Most endpoints to which one request may be sent. */
  attempts: z.int().positive(),
  targets: z.array(targetSchema).min(1).readonly()
}).readonly()

const poolSchema = z.object({
  name: z.string(),
  /** Whether each key belongs to one endpoint. */
  keyed: z.boolean(),
  /** Most connections that one endpoint accepts from all callers together. */
  maximumConnections: z.int().positive()
}).readonly()

const limitsSchema = z.object({
  maximumBodyBytes: z.int().positive(),
  headersMilliseconds: z.number().positive(),
  keepAliveMilliseconds: z.number().positive()
}).readonly()

/** The routing rules in force, as the operator published them. */
export const routingTableSchema = z.object({
  version: z.int().nonnegative(),
  routes: z.array(routeSchema).readonly(),
  pools: z.array(poolSchema).readonly(),
  limits: limitsSchema.optional()
}).readonly()

export type RoutingTable = z.infer<typeof routingTableSchema>
export type Route = z.infer<typeof routeSchema>
export type RouteTarget = z.infer<typeof targetSchema>
export type Pool = z.infer<typeof poolSchema>
