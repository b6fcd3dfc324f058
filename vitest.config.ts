import { configDefaults, defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
    // These have a configuration of their own, as they must not run beside others.
    exclude: [...configDefaults.exclude, 'platform/tests/apart/**'],
    testTimeout: 30_000,
    maxWorkers: 4,
  },
});
