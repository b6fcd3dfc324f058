import { defineConfig } from 'vitest/config';

/** Tests of whole processes under load, which run one at a time and apart from the others. */
export default defineConfig({
  test: {
    include: ['platform/tests/apart/**/*.test.ts'],
    maxWorkers: 1,
    fileParallelism: false,
  },
});
