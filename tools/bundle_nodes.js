/**
 * Bundles the processes of a site into one file, straight from the sources, so
 * that a deployment needs no other build and starts without looking for modules.
 */
import {build} from 'esbuild';

/**
 * The parts of libraries that the processes use; their whole entry files take
 * longer to load than all of the project's own code.
 */
const usedParts = {
  undici: "export {default as Pool} from 'undici/lib/dispatcher/pool.js';",
  'hdr-histogram-js':
    "export {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';",
};

const loadUsedParts = {
  name: 'load-used-parts',
  setup({onLoad, onResolve}) {
    const namespace = 'used-part';
    const filter = new RegExp(`^(${Object.keys(usedParts).join('|')})$`);
    onResolve({filter}, ({path}) => ({path, namespace}));
    onLoad({filter, namespace}, ({path}) => ({
      contents: usedParts[path],
      resolveDir: process.cwd(),
    }));
  },
};

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
  plugins: [loadUsedParts],
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: true,
  logLevel: 'warning',
});
