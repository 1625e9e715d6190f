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
const faultsOf = (commands: ConfigCommandRecord[], reads: ConfigReadRecord[] = []): string[] => [
  ...configHistoryViolations(commands, reads),
];
const first = command(0, "accepted", 5, 0, 100);

test("a chain of accepted orders, lost rivals and unknown ones is linearizable", () => {
  const commands = [
    first,
    command(5, "accepted", 9, 200, 300),
    command(5, "lost", 9, 200, 320),
    command(9, "unknown", 0, 400, Infinity),
    command(11, "accepted", 12, 500, 600),
  ];
  const reads = [read(5, 150, 160), read(9, 210, 220), read(5, 205, 215), read(11, 450, 460)];
  expect(faultsOf(commands, reads)).toEqual([]);
});
test("a read that overlaps a change may show either version, one begun after it only the new one", () => {
  const commands = [first, command(5, "accepted", 9, 200, 300)];
  expect(faultsOf(commands, [read(5, 250, 350)])).toEqual([]);
  expect(faultsOf(commands, [read(5, 301, 350)])).toHaveLength(1);
});
test("a read may not go back behind what another read has shown", () => {
  const commands = [first, command(5, "accepted", 9, 200, 300)];
  expect(faultsOf(commands, [read(9, 210, 220), read(5, 230, 240)])).toHaveLength(1);
});
test("two orders that were accepted on one base are told", () => {
  const commands = [
    first,
    command(5, "accepted", 9, 200, 300),
    command(5, "accepted", 10, 200, 300),
  ];
  expect(faultsOf(commands)).toHaveLength(1);
});
test("two orders that were accepted under one number are told", () => {
  const commands = [
    first,
    command(5, "accepted", 9, 200, 300),
    command(5, "accepted", 9, 200, 300),
  ];
  expect(faultsOf(commands)).toHaveLength(1);
});
test("a proper order that was refused for good is told, and one that lost to its own base", () => {
  expect(faultsOf([first, command(5, "refused", 0, 200, 300)])).toHaveLength(1);
  expect(faultsOf([first, command(5, "lost", 5, 200, 300)])).toHaveLength(1);
});
test("a version that nobody had sent by then is told", () => {
  expect(faultsOf([first], [read(9, 110, 150)])).toHaveLength(1);
});
