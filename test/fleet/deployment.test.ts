import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("../../", import.meta.url));

/** Runs a program of this repository; resolves to its exit code and its output. */
const runProgram = (...args: string[]): Promise<{ code: number | null; output: string }> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, args, { cwd: root, stdio: ["ignore", "pipe", "pipe"] });
    const chunks: Buffer[] = [];
    child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on("data", (chunk: Buffer) => chunks.push(chunk));
    child.once("exit", (code) => resolve({ code, output: Buffer.concat(chunks).toString() }));
  });

const runDeployment = (...options: string[]): ReturnType<typeof runProgram> =>
  runProgram("dist/fleet/main.js", "--profile", "kovacic-grown", "--machines", "14", ...options);

// Guards against orders and leaves without an answer, older or missing routes, requests to backends that left, and requests
// that are cut, while the configuration changes and machines are stopped in turn.
test("real processes of a grown deployment, made smaller, keep the rules under changes and stops", async () => {
  expect((await runProgram("deploy/bundle.mjs")).code).toBe(0);
  const changes = await runDeployment("--plan", "changes", "--seconds", "20", "--rate", "0.5");
  expect(changes.output).not.toContain("BROKEN");
  expect(changes.output).not.toContain("not judged");
  expect(changes.code).toBe(0);
  const both = await runDeployment("--plan", "both", "--seconds", "20", "--rate", "0.5");
  expect(both.output).not.toContain("BROKEN");
  expect(both.code).toBe(0);
});
