/**
 * Bundles the processes of a site into one file, straight from the sources, so
 * that a deployment needs no other build and starts without looking for modules.
 */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/marigoldpost.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['marigoldpost-source'],
  // Dependencies in CommonJS call `require` for Node's own modules.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  sourcemap: true,
  logLevel: 'warning',
});
