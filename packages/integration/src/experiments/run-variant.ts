import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { resultSchema, type RunResult } from '@briarsaddle/load'
import { Deployment, endpointPlans, exampleRules, executables, vmPlans, type DeploymentPlan } from '../bed/index.js'
import type { ExperimentOptions, Variant, VariantSettings } from './experiment.js'

const run = promisify(execFile)

const vmCount = 8
// Connections are made, code is compiled and running times are observed before the measured run.
const warmUpSeconds = 3
// Answers may come until the longest deadline, which the load tool waits for.
const longestDrainSeconds = 150
const maximumOutputBytes = 16 * 1024 * 1024

/** Starts a deployment of the firm's size, loads it and stops it. */
export async function runVariant (options: ExperimentOptions, variant: Variant): Promise<RunResult> {
  const deployment = new Deployment(deploymentPlan(options, variant.settings))
  const directory = await mkdtemp(join(tmpdir(), 'briarsaddle-experiment-'))
  try {
    await deployment.start()
    const load = async (phase: string, seed: number, seconds: number, requestsPerSecond: number): Promise<RunResult> =>
      await runLoad(deployment, join(directory, `${seed}.json`), ['--scenario', options.firm, '--slowdown', String(options.slowdown), '--phase', phase, '--seed', String(seed), '--duration', String(seconds), '--rate', String(requestsPerSecond)], seconds)
    await load('steady', options.seed + 1, warmUpSeconds, Math.min(variant.requestsPerSecond, options.scenario.requestsPerSecond))
    await variant.prepare?.(deployment)
    return await load(variant.phase, options.seed, variant.seconds, variant.requestsPerSecond)
  } finally {
    await deployment.stop()
    await rm(directory, { recursive: true, force: true })
  }
}

async function runLoad (deployment: Deployment, file: string, args: readonly string[], seconds: number): Promise<RunResult> {
  const targets = [...deployment.vms.values()].flatMap(({ callers }) => ['--target', `http://${callers.host}:${callers.port}`])
  const records = [...deployment.endpoints.values()].flatMap(({ address }) => ['--endpoint-record', `http://${address.host}:${address.port}`])
  await run(process.execPath, [executables.load, 'run', ...args, ...targets, ...records, '--json', file], { timeout: (seconds + longestDrainSeconds) * 1000, maxBuffer: maximumOutputBytes })
  return resultSchema.parse(JSON.parse(await readFile(file, 'utf8')))
}

function deploymentPlan ({ firm, scenario }: ExperimentOptions, settings: VariantSettings): DeploymentPlan {
  return {
    vms: vmPlans(vmCount),
    endpoints: scenario.pools.flatMap(({ pool, endpoints, slots }) => endpointPlans(pool, endpoints, { slots })),
    rules: exampleRules(firm),
    extraSettings: ['[experiments]', ...Object.entries(settings).map(([name, value]) => `${name} = ${JSON.stringify(value)}`)].join('\n')
  }
}
