/**
 * Loads a CommonJS bundle with the code that V8 compiled for it when it was
 * built, since compiling takes a quarter of the start of a process. Without that
 * code, or if V8 rejects it, the bundle is compiled as usual.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

const parameters = 'exports, require, module';

function readIfPresent(path) {
  try {
    return readFileSync(path);
  } catch {
    return undefined;
  }
}

/**
 * Loads a bundle.
 * @param url - `file:` URL of the bundle; its compiled code is beside it.
 * @returns Its exports, whether V8 used the compiled code, and a function that
 *   writes the code of all functions compiled so far.
 */
export function loadCachedScript(url) {
  const filename = fileURLToPath(url);
  const cachePath = `${filename}.cache`;
  const source = readFileSync(filename, 'utf8');
  const cachedData = readIfPresent(cachePath);
  const wrapped = `(function (${parameters}) {${source}\n})`;
  const script = new Script(wrapped, {filename, cachedData});
  const module = {exports: {}};
  const load = script.runInThisContext();
  load(module.exports, createRequire(url), module);
  return {
    exports: module.exports,
    isCacheUsed: cachedData !== undefined && !script.cachedDataRejected,
    writeCache: () => writeFileSync(cachePath, script.createCachedData()),
  };
}
