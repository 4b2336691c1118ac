import { z } from 'zod'
import { addressSchema, formatAddress, ipSchema, isLoopback, type Address } from './address.js'
import { timingSchema } from './timing.js'

/** Minimum length of the administration token, in characters. */
export const minimumTokenLength = 16

// Restricted because names appear in headers, log lines and records.
const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, { error: 'must be 1 to 64 letters, digits, ".", "_" or "-"' })

function isServiceAddress (text: string): boolean {
  if (!URL.canParse(text)) return false
  const { protocol, origin, href } = new URL(text)
  return /^https?:$/.test(protocol) && href === `${origin}/`
}

// A path is refused because the protocol of each service fixes the paths.
const serviceUrl = z.string().refine(isServiceAddress, { error: 'must be http:// or https:// with host and port and nothing after them' })

const positiveInteger = z.int().min(1)

const vmSchema = z.strictObject({ id: name, dataCentre: name }).readonly()

const listenSchema = z.strictObject({
  callers: addressSchema.prefault('127.0.0.1:8080'),
  inner: addressSchema.prefault('127.0.0.1:9080'),
  administration: addressSchema.prefault('127.0.0.1:7080')
}).superRefine((listen, context) => {
  const keyByAddress = new Map<string, string>()
  for (const [key, address] of Object.entries(listen)) {
    const text = formatAddress(address)
    const otherKey = keyByAddress.get(text)
    if (address.port !== 0 && otherKey !== undefined) context.addIssue({ code: 'custom', path: [key], message: `${text} is already used by listen.${otherKey}` })
    keyByAddress.set(text, key)
  }
}).readonly()

const administrationSchema = z.strictObject({
  token: z.string().min(minimumTokenLength).optional(),
  /** Environment variable that holds the token. */
  tokenEnvironment: z.string().regex(/^[A-Za-z_][A-Za-z0-9_]*$/, { error: 'must be the name of an environment variable' }).optional(),
  /** Allows the administration to listen on an address that other machines can reach. */
  allowRemote: z.boolean().default(false)
}).refine(administration => (administration.token === undefined) !== (administration.tokenEnvironment === undefined), {
  error: 'exactly one of token and tokenEnvironment must be set'
}).readonly()

const platformSchema = z.strictObject({
  logUrl: serviceUrl,
  stream: name.default('control'),
  vmListUrl: serviceUrl,
  /** Limit of the records that this VM appends per second; the log accepts several hundred per second from all VMs together. */
  appendsPerSecond: z.number().positive().max(1000).default(50)
}).readonly()

const limitsSchema = z.strictObject({
  maximumHeaderBytes: positiveInteger.default(16_384),
  maximumBodyBytes: positiveInteger.default(1_048_576),
  maximumAnswerBytes: positiveInteger.default(4_194_304),
  maximumCallerConnections: positiveInteger.default(10_000),
  maximumQueuedPerEndpoint: positiveInteger.default(64),
  /** Connections to one endpoint for requests. An endpoint accepts about 100; the others are for hello and renew calls and for the next coordinator. */
  endpointConnections: positiveInteger.default(90),
  maximumRuleFileBytes: positiveInteger.default(262_144)
}).readonly()

const metricsSchema = z.strictObject({
  host: ipSchema.default('127.0.0.1'),
  port: z.int().min(1).max(65_535).default(8125),
  prefix: z.string().default('briarsaddle.')
}).readonly()

const logsSchema = z.strictObject({
  namespaces: z.string().default('briarsaddle:*:info,briarsaddle:*:warning,briarsaddle:*:error')
}).readonly()

/** Switches for comparison measurements only: any value other than the default disables a part of the product. */
const experimentsSchema = z.strictObject({
  scheduling: z.enum(['classes', 'fifo']).default('classes'),
  endpointChoice: z.enum(['two-choices', 'random']).default('two-choices'),
  admission: z.boolean().default(true),
  retryBudget: z.boolean().default(true),
  longJobRelief: z.boolean().default(true)
}).readonly()

interface RemoteCheck {
  readonly listen?: { readonly administration?: Address }
  readonly administration?: { readonly allowRemote?: boolean }
}

function administrationIsAllowed (settings: RemoteCheck): boolean {
  const host = settings.listen?.administration?.host
  return host === undefined || isLoopback(host) || settings.administration?.allowRemote === true
}

/** Schema of the settings file. Unknown sections and keys are refused. */
export const settingsSchema = z.strictObject({
  vm: vmSchema,
  listen: listenSchema.prefault({}),
  administration: administrationSchema,
  platform: platformSchema,
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  metrics: metricsSchema.prefault({}),
  logs: logsSchema.prefault({}),
  experiments: experimentsSchema.prefault({})
}).refine(administrationIsAllowed, {
  path: ['listen', 'administration'],
  error: 'an address that is not loopback needs administration.allowRemote = true',
  // By default zod skips this check when another key is invalid, so not all errors would be reported at once.
  when: () => true
}).readonly()

/** Validated, read-only settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>
