export { LogClient, type LogPage, type LogRecord, type ReadOptions } from './log-client.js'
export { VmListClient, type ListedVm } from './vm-list-client.js'
