import { spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { array, create, string, type } from "superstruct";
import { expect, test } from "vitest";

/** Runs the check over a folder of its own that holds one source file. */
const runCheck = (source: string): { code: number | null; output: string } => {
  const root = mkdtempSync(join(tmpdir(), "words-"));
  try {
    cpSync("tools", join(root, "tools"), { recursive: true });
    for (const folder of checkedFolders()) mkdirSync(join(root, folder), { recursive: true });
    const [first] = checkedFolders();
    writeFileSync(join(root, first ?? "", "planted.ts"), source);
    const ran = spawnSync(process.execPath, ["tools/check-words.mjs"], {
      cwd: root,
      encoding: "utf8",
    });
    return { code: ran.status, output: ran.stderr };
  } finally {
    rmSync(root, { recursive: true });
  }
};

const checkedFolders = (): string[] => {
  const list: unknown = JSON.parse(readFileSync("tools/withdrawn-words.json", "utf8"));
  return create(list, type({ folders: array(string()) })).folders;
};

test("a withdrawn word in a folder that is done fails the check, in comments and inside names", () => {
  expect(runCheck("/** Hands it to the ferry. */\n").code).toBe(1);
  expect(runCheck("const newContract = 1;\n").output).toContain(
    '1: "Contract", better: registration',
  );
  expect(runCheck("const checkpointBytes = 1;\n").code).toBe(1);
});

test("ordinary words pass, and so do names imported from folders that aren't done", () => {
  expect(runCheck("/** A contractual matter; indoors. */\nconst backend = 1;\n").code).toBe(0);
  expect(
    runCheck(
      'import type { Contract } from "../record/book.js";\nconst of = (one: Contract) => one;\n',
    ).code,
  ).toBe(0);
});
