import { defineConfig } from "vitest/config";

export default defineConfig({
  test: { includeSource: ["src/**/*.ts"], include: [], testTimeout: 120_000, reporters: ["default", "./.ci/closingLine.js"] },
});
