#!/usr/bin/env node
import { main } from '../dist/index.js'

// Everything is closed at this point. Timers for the deadlines of finished requests must not keep the process alive.
process.exit(await main(process.argv.slice(2)))
