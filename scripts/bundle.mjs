// Bundles the program for the platform into target/, so that a VM starts with one file.
import { readdirSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'

const require = 'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);'
// The sources themselves, so that nothing has to be built before.
const alias = Object.fromEntries(readdirSync('packages').map(name => [`@briarsaddle/${name}`, resolve('packages', name, 'src/index.ts')]))

await build({
  entryPoints: ['platform/src/start.ts'],
  outfile: 'target/briarsaddle.js',
  bundle: true,
  alias,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  // A restarted VM serves again sooner when there is less to parse. Names stay, since errors show them.
  minifyWhitespace: true,
  minifySyntax: true,
  // Libraries in CommonJS load Node's modules with `require`.
  banner: { js: require },
  logLevel: 'warning'
})
