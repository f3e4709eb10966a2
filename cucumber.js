const common = {
  import: ['packages/*/src/**/*.steps.ts', 'packages/*/features/**/*.steps.ts', 'platform/features/**/*.steps.ts'],
  format: ['progress', 'message:reports/cucumber.ndjson'],
  publishQuiet: true,
  strict: true
}

export default {
  ...common,
  paths: ['packages/*/src/**/*.feature', 'packages/*/features/**/*.feature', 'platform/features/**/*.feature'],
  tags: 'not @matrix or @ci'
}

export const faults = {
  ...common,
  paths: ['packages/*/features/**/*.feature'],
  tags: '@matrix',
  parallel: 3,
  format: ['progress', 'message:reports/faults.ndjson']
}
