/**
 * Writes the compiled code of the bundle (`write`), or checks that a process
 * uses it (`check`). V8 accepts it only with the flags with which it was written.
 */
import {loadCachedScript} from './load_cached_script.js';

const bundle = new URL('../target/nodes.cjs', import.meta.url);
const {isCacheUsed, writeCache} = loadCachedScript(bundle);
if (process.argv[2] === 'write') writeCache();
else if (!isCacheUsed) throw new Error('V8 rejects the compiled code');
