export { Daemon, type DaemonAddresses } from './daemon.js'
export { main } from './main.js'
