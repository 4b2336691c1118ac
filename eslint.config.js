import neostandard, { plugins } from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: ['**/dist/**', '**/generated/**', '**/node_modules/**', 'results/**', 'target/**']
  }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      // A type and a value may share a name; the compiler reports real redeclarations.
      '@typescript-eslint/no-redeclare': 'off',
      // Marks a promise that is deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    languageOptions: { globals: { describe: 'readonly', it: 'readonly', before: 'readonly', after: 'readonly', beforeEach: 'readonly', afterEach: 'readonly' } },
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' }
  }
]
