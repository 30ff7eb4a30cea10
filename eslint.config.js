/** Lint rules: Google TypeScript Style, package layers and doc comments. */
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import {getPackageFolder, packageLayers} from './tools/package_layers.js';

/**
 * Creates the rules of one package. They forbid imports of later layers, of a
 * package's inner modules, and of modules that start processes or threads.
 */
function layerRules(name, index) {
  const later = packageLayers
    .slice(index)
    .map((layer) => `@marigoldpost/${layer}`);
  return {
    files: [`${getPackageFolder(name)}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            ...later,
            'child_process',
            'node:child_process',
            'cluster',
            'node:cluster',
            'worker_threads',
            'node:worker_threads',
          ],
          patterns: ['@marigoldpost/*/*'],
        },
      ],
    },
  };
}

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'dist-tests/**',
      'build/**',
      'target/**',
      'packages/*/src/generated/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: [
      '{packages/*,platform}/src/**/*.ts',
      '{packages/*,platform}/tests/**/*.ts',
    ],
    languageOptions: {
      parserOptions: {
        projectService: {defaultProject: 'tsconfig.tests.json'},
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['variable', 'function', 'classMethod'],
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
        {
          selector: 'classProperty',
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
      ],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'prefer-const': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports (Google TypeScript Style).',
        },
      ],
      'max-lines': [
        'error',
        {max: 400, skipBlankLines: true, skipComments: true},
      ],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    files: ['{packages/*,platform}/src/**/*.ts'],
    plugins: {jsdoc},
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['{packages/*,platform}/tests/**/*.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
  ...packageLayers.map(layerRules),
);
