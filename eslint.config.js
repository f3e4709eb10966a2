import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({
    ts: true,
    ignores: [...resolveIgnoresFromGitignore(), '**/gen/**']
  }),
  {
    rules: {
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'no-restricted-syntax': ['error', {
        selector: 'ExportDefaultDeclaration',
        message: 'Use named exports.'
      }]
    }
  },
  {
    files: ['eslint.config.js', 'cucumber.js'],
    rules: { 'no-restricted-syntax': 'off' }
  }
]
