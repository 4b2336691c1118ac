#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { FaultProxy, numberFlag, runStandIn } from '../dist/index.js'

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'control-port': { type: 'string', default: '0' },
    'target-host': { type: 'string', default: '127.0.0.1' },
    'target-port': { type: 'string' }
  }
})

await runStandIn(new FaultProxy({
  targetHost: values['target-host'],
  targetPort: numberFlag('target-port', values['target-port'] ?? ''),
  controlPort: numberFlag('control-port', values['control-port'])
}), values)
