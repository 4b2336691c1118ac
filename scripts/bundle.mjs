// Bundles the program for the platform into target/, so that a VM starts with one file.
import { build } from 'esbuild'

const require = 'import { createRequire as createRequireForBundle } from "node:module"; const require = createRequireForBundle(import.meta.url);'

await build({
  entryPoints: ['platform/src/start.ts'],
  outfile: 'target/briarsaddle.js',
  bundle: true,
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
