import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '.measure/**', 'target/**', 'journal/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      'import-x/no-duplicates': 'off',
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'Date', 'performance'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: 'Take the injected Random.' }]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 40, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['**/*.spec.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
