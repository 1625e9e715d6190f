import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ESLint } from "eslint";
import { describe, expect, test } from "vitest";

const PLANTED_FOLDER = "src/sketch";

/** The rules that a planted source file breaks, as errors; the file isn't written anywhere. */
const violatedRules = async (source: string, fileName = "planted.ts"): Promise<string[]> => {
  const eslint = new ESLint({
    overrideConfig: {
      languageOptions: {
        parserOptions: { projectService: { allowDefaultProject: [`${PLANTED_FOLDER}/*.ts`] } },
      },
    },
  });
  const results = await eslint.lintText(source, { filePath: `${PLANTED_FOLDER}/${fileName}` });
  return results
    .flatMap(({ messages }) => messages)
    .filter(({ severity }) => severity === 2)
    .map(({ ruleId }) => ruleId ?? "parser error");
};

/** How prettier's check of one file with this content ends. */
const prettierExitCode = (source: string): number | null => {
  const folder = mkdtempSync(join(tmpdir(), "prettier-"));
  try {
    const file = join(folder, "planted.ts");
    writeFileSync(file, source);
    const program = join("node_modules", "prettier", "bin", "prettier.cjs");
    return spawnSync(process.execPath, [program, "--check", file]).status;
  } finally {
    rmSync(folder, { recursive: true });
  }
};

const DOCUMENTED =
  "/** Adds one. */\nexport const increment = (value: number): number => value + 1;\n";

describe("eslint in a finished folder", () => {
  test("accepts a short documented function in a file with a kebab-case name", async () => {
    expect(await violatedRules(DOCUMENTED)).toEqual([]);
  });

  test("refuses an exported function without a doc comment", async () => {
    const source = "export const increment = (value: number): number => value + 1;\n";
    expect(await violatedRules(source)).toEqual(["jsdoc/require-jsdoc"]);
  });

  test("refuses a file name in camel case", async () => {
    expect(await violatedRules(DOCUMENTED, "plantedFile.ts")).toEqual([
      "check-file/filename-naming-convention",
    ]);
  });

  test("refuses a function of over 60 lines, and a file of over 350", async () => {
    const lines = (count: number): string => "  total += 1;\n".repeat(count);
    const source = (count: number): string =>
      `/** Counts. */\nexport const count = (): number => {\n  let total = 0;\n${lines(count)}  return total;\n};\n`;
    expect(await violatedRules(source(50))).toEqual([]);
    expect(await violatedRules(source(70))).toEqual(["max-lines-per-function"]);
    expect(await violatedRules(source(400))).toEqual(["max-lines-per-function", "max-lines"]);
  });

  test("refuses a function with more than 12 paths", async () => {
    const branches = Array.from(
      { length: 13 },
      (_, index) => `  if (value === ${index}) return ${index};\n`,
    );
    const source = `/** Chooses. */\nexport const choose = (value: number): number => {\n${branches.join("")}  return -1;\n};\n`;
    expect(await violatedRules(source)).toEqual(["complexity"]);
  });

  test("refuses any, casts and non-null assertions", async () => {
    const source = (expression: string): string =>
      `/** A value. */\nexport const value = (given: number | undefined): number => ${expression};\n`;
    expect(await violatedRules(source("given!"))).toContain(
      "@typescript-eslint/no-non-null-assertion",
    );
    expect(await violatedRules(source("given as number"))).toContain(
      "@typescript-eslint/consistent-type-assertions",
    );
    expect(await violatedRules(source("[].length as any"))).toContain(
      "@typescript-eslint/no-explicit-any",
    );
  });
});

describe("prettier", () => {
  test("accepts its own format and refuses another", () => {
    expect(prettierExitCode(DOCUMENTED)).toBe(0);
    expect(prettierExitCode("export const  value=1\n")).toBe(1);
  });
});
