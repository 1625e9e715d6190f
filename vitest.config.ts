import { defineConfig } from "vitest/config";
import { greenPattern } from "./tools/known-red.mjs";

const testNamePattern = greenPattern();

export default defineConfig({
  test: {
    include: ["test/**/*.test.ts"],
    testTimeout: 120_000,
    reporters: ["default", "./.ci/closing-line.js"],
    ...(testNamePattern ? { testNamePattern } : {}),
  },
});
