/**
 * Writes each package's tsconfig.json and export map from the layer order, so
 * that project references always match the allowed dependencies.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {packageLayers} from './package_layers.js';

const jsonIndent = 2;

function writeJson(path, value) {
  writeFileSync(path, `${JSON.stringify(value, null, jsonIndent)}\n`);
}

function readDependencies(manifest) {
  return Object.keys(manifest.dependencies ?? {})
    .filter((name) => name.startsWith('@marigoldpost/'))
    .map((name) => name.slice('@marigoldpost/'.length));
}

const existing = packageLayers.filter((name) =>
  existsSync(`packages/${name}/package.json`),
);

for (const name of existing) {
  const path = `packages/${name}/package.json`;
  const manifest = JSON.parse(readFileSync(path, 'utf8'));
  manifest.exports = {
    '.': {types: './dist/index.d.ts', default: './dist/index.js'},
  };
  writeJson(path, manifest);
  writeJson(`packages/${name}/tsconfig.json`, {
    extends: '../../tsconfig.base.json',
    compilerOptions: {
      rootDir: 'src',
      outDir: 'dist',
      tsBuildInfoFile: 'dist/tsconfig.tsbuildinfo',
    },
    include: ['src'],
    references: readDependencies(manifest).map((dependency) => ({
      path: `../${dependency}`,
    })),
  });
}

writeJson('tsconfig.tests.json', {
  extends: './tsconfig.base.json',
  compilerOptions: {
    rootDir: 'packages',
    outDir: 'dist-tests',
    tsBuildInfoFile: 'dist-tests/tsconfig.tsbuildinfo',
  },
  include: ['packages/*/tests/**/*.ts'],
  references: existing.map((name) => ({path: `packages/${name}`})),
});
writeJson('tsconfig.json', {
  files: [],
  references: [
    ...existing.map((name) => ({path: `packages/${name}`})),
    {path: './tsconfig.tests.json'},
  ],
});
