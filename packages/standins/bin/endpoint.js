#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { booleanFlag, Endpoint, endpointDefaults, numberFlag, runStandIn } from '../dist/index.js'

const text = (value) => ({ type: 'string', default: String(value) })

const { values } = parseArgs({
  options: {
    host: text('127.0.0.1'),
    port: text(0),
    id: text(endpointDefaults.id),
    pool: text(endpointDefaults.pool),
    'data-centre': text(endpointDefaults.dataCentre),
    slots: text(endpointDefaults.slots),
    checks: text(endpointDefaults.checks),
    'cold-start-milliseconds': text(endpointDefaults.coldStartMilliseconds),
    // Longer than a lease with its margin (510 ms).
    'offer-delay-milliseconds': text(600),
    'service-milliseconds': text(endpointDefaults.serviceMilliseconds),
    'long-service-milliseconds': text(endpointDefaults.longServiceMilliseconds),
    'maximum-connections': text(endpointDefaults.maximumConnections),
    seed: { type: 'string' }
  }
})

await runStandIn(new Endpoint({
  id: values.id,
  pool: values.pool,
  dataCentre: values['data-centre'],
  slots: numberFlag('slots', values.slots),
  checks: booleanFlag('checks', values.checks),
  coldStartMilliseconds: numberFlag('cold-start-milliseconds', values['cold-start-milliseconds']),
  offerDelayMilliseconds: numberFlag('offer-delay-milliseconds', values['offer-delay-milliseconds']),
  serviceMilliseconds: numberFlag('service-milliseconds', values['service-milliseconds']),
  longServiceMilliseconds: numberFlag('long-service-milliseconds', values['long-service-milliseconds']),
  maximumConnections: numberFlag('maximum-connections', values['maximum-connections']),
  ...(values.seed !== undefined && { seed: numberFlag('seed', values.seed) })
}), values)
