#!/usr/bin/env node
import { main } from '../dist/index.js'

// Everything is closed by now. Timers for the deadlines of past requests must not keep the process alive.
process.exit(await main(process.argv.slice(2)))
