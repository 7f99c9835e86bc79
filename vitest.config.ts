import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "packages/*/src/**/*_test.ts",
      "platform/src/**/*_test.ts",
      "tools/*_test.ts",
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Integration tests start real processes, which lack CPU time with more
    // workers.
    maxWorkers: 4,
  },
});
