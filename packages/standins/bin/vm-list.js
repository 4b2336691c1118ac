#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { numberFlag, runStandIn, VmListService } from '../dist/index.js'

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'lag-milliseconds': { type: 'string', default: '0' }
  }
})

await runStandIn(new VmListService({ lagMilliseconds: numberFlag('lag-milliseconds', values['lag-milliseconds']) }), values)
