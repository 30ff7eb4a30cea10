/**
 * Bundles the processes of a site, directly from the TypeScript sources: a small
 * program, and the daemons, which it loads with their compiled code. A
 * deployment needs no other build, and a process resolves no modules when it
 * starts.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync, rmSync} from 'node:fs';
import {build} from 'esbuild';

const daemonsModule = './run_node.js';
const daemonsBundle = 'target/nodes.cjs';

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

/** HTTP/2 is not used, and loading it takes a tenth of a start. */
const omitHttp2 = {
  name: 'omit-http2',
  setup({onLoad}) {
    const contents =
      "module.exports = () => { throw new Error('HTTP/2 is not bundled'); };";
    onLoad({filter: /undici\/lib\/dispatcher\/client-h2\.js$/}, () => ({
      contents,
    }));
  },
};

const loadDaemonsFromCache = {
  name: 'load-daemons-from-cache',
  setup({onLoad, onResolve}) {
    const namespace = 'cached-daemons';
    onResolve({filter: /\/run_node\.js$/}, ({path}) =>
      path === daemonsModule ? {path, namespace} : undefined,
    );
    onLoad({filter: /.*/, namespace}, () => ({
      contents:
        "import {loadCachedScript} from './tools/load_cached_script.js';" +
        "const bundle = new URL('nodes.cjs', import.meta.url);" +
        'export const {runNode} = loadCachedScript(bundle).exports;',
      resolveDir: process.cwd(),
    }));
  },
};

/** Flags of the processes; V8 accepts compiled code only with the same ones. */
function readNodeFlags() {
  const deployment = readFileSync('deploy/system.toml', 'utf8');
  const runs = [...deployment.matchAll(/^run = "node (.*) target\//gm)];
  const [flags, ...others] = new Set(runs.map(([, words]) => words));
  if (flags === undefined || others.length > 0) {
    throw new Error('the processes of deploy/system.toml need the same flags');
  }
  return flags.split(' ');
}

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  conditions: ['marigoldpost-source'],
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: true,
  logLevel: 'warning',
};
await build({
  ...options,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/marigoldpost.mjs',
  format: 'esm',
  plugins: [loadDaemonsFromCache],
});
await build({
  ...options,
  entryPoints: ['platform/src/run_node.ts'],
  outfile: daemonsBundle,
  format: 'cjs',
  plugins: [loadUsedParts, omitHttp2],
});
rmSync(`${daemonsBundle}.cache`, {force: true});
for (const step of ['write', 'check']) {
  const words = [...readNodeFlags(), 'tools/cache_bundle.js', step];
  execFileSync(process.execPath, words, {stdio: 'inherit'});
}
