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
  runProgram("dist/fleet/main.js", "--profile", ...options);

// Guards against orders and leaves without an answer, older or missing routes, requests to backends that left, and requests
// that are cut, while the configuration changes and machines are stopped in turn.
test("real processes of a grown deployment, made smaller, keep the rules under changes and stops", async () => {
  expect((await runProgram("deploy/bundle.mjs")).code).toBe(0);
  const smaller = ["kovacic-grown", "--machines", "14", "--seconds", "20", "--rate", "0.5"];
  const changes = await runDeployment(...smaller, "--plan", "changes");
  expect(changes.output).not.toContain("BROKEN");
  expect(changes.output).not.toContain("not judged");
  expect(changes.code).toBe(0);
  const both = await runDeployment(...smaller, "--plan", "both");
  expect(both.output).not.toContain("BROKEN");
  expect(both.code).toBe(0);
});

// Guards against members that end with a full heap, again at each start, when they replay many changes of a large configuration.
test("members out of memory: all members are killed after hundreds of changes, and the configuration is read back", async () => {
  expect((await runProgram("deploy/bundle.mjs")).code).toBe(0);
  const changes = ["--seconds", "25", "--rate", "0.3", "--change-gap", "0", "--routes", "1400"];
  const run = await runDeployment(
    ...["ptice-vrata", "--machines", "8", "--plan", "closing"],
    ...changes,
  );
  expect(run.output).not.toContain("BROKEN");
  expect(run.code).toBe(0);
});
