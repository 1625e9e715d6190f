import { expect, test } from "vitest";
import { configHistoryViolations } from "../../src/simulation/config-history-check.js";
import type { ConfigCommandRecord, ConfigReadRecord } from "../../src/simulation/event-recorder.js";

const command = (
  base: number,
  outcome: ConfigCommandRecord["outcome"],
  version: number,
  startMs: number,
  endMs: number,
): ConfigCommandRecord => ({
  base,
  outcome,
  version,
  startMs,
  endMs,
  probe: startMs,
  attempts: [],
});
const read = (version: number, startMs: number, endMs: number): ConfigReadRecord => ({
  version,
  startMs,
  endMs,
});
const findViolations = (
  commands: ConfigCommandRecord[],
  reads: ConfigReadRecord[] = [],
): string[] => [...configHistoryViolations(commands, reads)];
const firstChange = command(0, "accepted", 5, 0, 100);

test("a chain of accepted changes with conflicting and unacknowledged ones is linearizable", () => {
  const commands = [
    firstChange,
    command(5, "accepted", 9, 200, 300),
    command(5, "lost", 9, 200, 320),
    command(9, "unknown", 0, 400, Infinity),
    command(11, "accepted", 12, 500, 600),
  ];
  const reads = [read(5, 150, 160), read(9, 210, 220), read(5, 205, 215), read(11, 450, 460)];
  expect(findViolations(commands, reads)).toEqual([]);
});
test("a read concurrent with a change may return either version, a later read only the new one", () => {
  const commands = [firstChange, command(5, "accepted", 9, 200, 300)];
  expect(findViolations(commands, [read(5, 250, 350)])).toEqual([]);
  expect(findViolations(commands, [read(5, 301, 350)])).toHaveLength(1);
});
test("a read must not return an older version than an earlier read", () => {
  const commands = [firstChange, command(5, "accepted", 9, 200, 300)];
  expect(findViolations(commands, [read(9, 210, 220), read(5, 230, 240)])).toHaveLength(1);
});
test("two changes accepted on the same base are a violation", () => {
  const commands = [
    firstChange,
    command(5, "accepted", 9, 200, 300),
    command(5, "accepted", 10, 200, 300),
  ];
  expect(findViolations(commands)).toHaveLength(1);
});
test("two changes accepted as the same version are a violation", () => {
  const commands = [
    firstChange,
    command(5, "accepted", 9, 200, 300),
    command(5, "accepted", 9, 200, 300),
  ];
  expect(findViolations(commands)).toHaveLength(1);
});
test("a valid change that was rejected is a violation, and so is one that conflicted with its own base", () => {
  expect(findViolations([firstChange, command(5, "refused", 0, 200, 300)])).toHaveLength(1);
  expect(findViolations([firstChange, command(5, "lost", 5, 200, 300)])).toHaveLength(1);
});
test("a version that no change could have created by then is a violation", () => {
  expect(findViolations([firstChange], [read(9, 110, 150)])).toHaveLength(1);
});
