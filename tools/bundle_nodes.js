/**
 * Bundles the processes of a site into one file, directly from the TypeScript
 * sources. A deployment needs no other build, and a process resolves no modules
 * when it starts.
 */
import {build} from 'esbuild';

/**
 * Replacement entry modules of libraries, with only the exports that the
 * processes use. The full entry modules take longer to load than all of the
 * project's own code.
 */
const usedParts = {
  undici:
    "export {default as Pool} from 'undici/lib/dispatcher/pool.js';" +
    "export {default as buildConnector} from 'undici/lib/core/connect.js';",
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
  // CommonJS dependencies load Node.js built-in modules with `require`.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [loadUsedParts],
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: true,
  logLevel: 'warning',
});
