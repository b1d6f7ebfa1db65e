import globals from 'globals';
import gts from 'gts';
import {verbFirst} from './scripts/eslint/verbs.mjs';

export default [
  {
    ignores: [
      '**/dist/',
      '**/node_modules/',
      'packages/protocol/src/gen/',
      'target/',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {local: {rules: {'verb-first': verbFirst}}},
    rules: {
      'local/verb-first': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object instead of an enum.',
        },
        {
          selector: 'ThrowStatement > Literal',
          message: 'Throw a typed error, not a string.',
        },
        {
          selector: "ThrowStatement > NewExpression[callee.name='Error']",
          message: 'Throw a RouterError with a code from the error table.',
        },
      ],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {
      sourceType: 'module',
      globals: globals.node,
    },
    rules: {'n/no-unpublished-import': 'off'},
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: globals.node,
    },
  },
];
