const common = {
  import: ['packages/*/src/**/*.steps.ts', 'packages/*/features/**/*.steps.ts', 'platform/features/**/*.steps.ts'],
  format: ['progress', 'message:reports/cucumber.ndjson'],
  publishQuiet: true,
  strict: true,
  // A socket whose reset Node refused keeps its process from ending after the last scenario.
  forceExit: true
}

const PACKAGES = ['packages/*/src/**/*.feature', 'packages/*/features/**/*.feature']
const PLATFORM = ['platform/features/**/*.feature']

/** Parts of the test run, each in a process of its own. */
export const packages = {
  ...common,
  paths: PACKAGES,
  tags: 'not @matrix or @ci',
  format: ['progress', 'message:reports/packages.ndjson']
}

export const platform = {
  ...common,
  paths: PLATFORM,
  tags: 'not @matrix or @ci',
  format: ['progress', 'message:reports/platform.ndjson']
}

export default {
  ...common,
  paths: [...PACKAGES, ...PLATFORM],
  tags: 'not @matrix or @ci'
}

export const faults = {
  ...common,
  paths: ['packages/*/features/**/*.feature'],
  tags: '@matrix',
  parallel: 3,
  format: ['progress', 'message:reports/faults.ndjson']
}
