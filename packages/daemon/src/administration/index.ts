export { AdministrationServer, type AdministrationServerOptions } from './administration-server.js'
export { AdministrationOperations, StateDump, type OperationResult } from './operations.js'
export { LogOperations, type OperatorLog } from './log-operations.js'
