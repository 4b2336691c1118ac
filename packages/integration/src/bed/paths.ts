import { fileURLToPath } from 'node:url'

/** Returns a path in the repository. */
export function repositoryPath (path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url))
}

/** Executables that the tests start. */
export const executables = {
  daemon: repositoryPath('packages/daemon/bin/briarsaddled.js'),
  cli: repositoryPath('packages/cli/bin/briarsaddle.js'),
  load: repositoryPath('packages/load/bin/briarsaddle-load.js'),
  logService: repositoryPath('packages/standins/bin/log-service.js'),
  vmList: repositoryPath('packages/standins/bin/vm-list.js'),
  endpoint: repositoryPath('packages/standins/bin/endpoint.js'),
  faultProxy: repositoryPath('packages/standins/bin/fault-proxy.js')
} as const
