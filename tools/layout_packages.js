/**
 * Generates the tsconfig.json and the export map of each package, and the root
 * tsconfig files, from the layer order and the dependencies in each
 * package.json. Project references therefore always match the dependencies.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {getPackageFolder, packageLayers} from './package_layers.js';

const jsonIndent = 2;

function writeJson(path, value) {
  writeFileSync(path, `${JSON.stringify(value, null, jsonIndent)}\n`);
}

function readDependencies(manifest) {
  return Object.keys(manifest.dependencies ?? {})
    .filter((name) => name.startsWith('@marigoldpost/'))
    .map((name) => name.slice('@marigoldpost/'.length));
}

const existingPackages = packageLayers.filter((name) =>
  existsSync(`${getPackageFolder(name)}/package.json`),
);

for (const name of existingPackages) {
  const folder = getPackageFolder(name);
  const root = folder.replace(/[^/]+/g, '..');
  const path = `${folder}/package.json`;
  const manifest = JSON.parse(readFileSync(path, 'utf8'));
  manifest.exports = {
    '.': {
      'marigoldpost-source': './src/index.ts',
      types: './dist/index.d.ts',
      default: './dist/index.js',
    },
  };
  writeJson(path, manifest);
  writeJson(`${folder}/tsconfig.json`, {
    extends: `${root}/tsconfig.base.json`,
    compilerOptions: {
      rootDir: 'src',
      outDir: 'dist',
      tsBuildInfoFile: 'dist/tsconfig.tsbuildinfo',
    },
    include: ['src'],
    references: readDependencies(manifest).map((dependency) => ({
      path: `${root}/${getPackageFolder(dependency)}`,
    })),
  });
}

const references = existingPackages.map((name) => ({
  path: getPackageFolder(name),
}));
writeJson('tsconfig.tests.json', {
  extends: './tsconfig.base.json',
  compilerOptions: {
    rootDir: '.',
    outDir: 'dist-tests',
    tsBuildInfoFile: 'dist-tests/tsconfig.tsbuildinfo',
  },
  include: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
  references,
});
writeJson('tsconfig.json', {
  files: [],
  references: [...references, {path: './tsconfig.tests.json'}],
});
