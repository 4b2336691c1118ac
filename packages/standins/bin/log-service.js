#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { LogService, logServiceDefaults, numberFlag, runStandIn } from '../dist/index.js'

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'retain-records': { type: 'string', default: String(logServiceDefaults.retainRecords) },
    'retain-milliseconds': { type: 'string', default: String(logServiceDefaults.retainMilliseconds) },
    'appends-per-second': { type: 'string', default: String(logServiceDefaults.appendsPerSecond) }
  }
})

await runStandIn(new LogService({
  retainRecords: numberFlag('retain-records', values['retain-records']),
  retainMilliseconds: numberFlag('retain-milliseconds', values['retain-milliseconds']),
  appendsPerSecond: numberFlag('appends-per-second', values['appends-per-second'])
}), values)
