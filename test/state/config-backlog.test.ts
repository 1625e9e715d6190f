import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect, test } from "vitest";
import type { AcceptedConfig } from "../../src/state/accepted-config.js";
import { ConfigBacklog } from "../../src/state/config-backlog.js";
import { encodeConfigPayload } from "../../src/state/config-payload.js";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { LargeConfig } from "../replication/large-config.js";

const MB = 1024 * 1024;
const members = { voters: ["a"], learners: [] };

/** The heap in use after a garbage collection, in bytes. */
const usedHeap = (): number => {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc()");
  return process.memoryUsage().heapUsed;
};

/** Applies changes of a large configuration in a row, as a member does that replays its log; returns the texts' length. */
const applyChanges = (stateMachine: StateMachine, count: number): number => {
  const config = new LargeConfig(600);
  let previous: string | undefined;
  let length = 0;
  for (let sequence = 1; sequence <= count; sequence += 1) {
    const text = config.next();
    length += text.length;
    const command = encodeLogCommand({
      kind: "config",
      expected: sequence - 1,
      changeId: `c${sequence}`,
      acceptedAt: "2026-01-01T00:00:00.000Z",
      ...encodeConfigPayload(previous, text),
      names: { added: [], removed: [] },
      rested: [],
    });
    stateMachine.apply(sequence, command);
    previous = text;
  }
  return length;
};

// Guards against members that run out of memory when they apply many changes before their history contains any, after a restart.
test("a member that applies thousands of changes in a row retains their deltas, not their texts", () => {
  const stateMachine = new StateMachine();
  const beforeBytes = usedHeap();
  const length = applyChanges(stateMachine, 3000);
  const retainedBytes = usedHeap() - beforeBytes;
  expect(length).toBeGreaterThan(200 * MB);
  expect(stateMachine.configBacklog.size).toBe(3000);
  expect(stateMachine.configBacklog.textLength).toBe(length);
  // What the control plane may cost a daemon.
  expect(retainedBytes).toBeLessThan(64 * MB);
});

test("a snapshot with more configurations than it may contain has the newest ones, and the others stay in the backlog", () => {
  const stateMachine = new StateMachine();
  applyChanges(stateMachine, 200);
  expect(stateMachine.exceedsSnapshot).toBe(true);
  const text = stateMachine.snapshot(members);
  expect(text.length).toBeLessThan(6 * MB);
  const copy = new StateMachine();
  copy.restore(text);
  expect(copy.activeConfig?.sequence).toBe(200);
  expect(copy.activeConfig?.text).toBe(stateMachine.activeConfig?.text);
  expect(copy.configBacklog.firstSequence).toBeGreaterThan(1);
  expect(copy.exceedsSnapshot).toBe(false);
  expect(stateMachine.configBacklog.firstSequence).toBe(1);
});

const createConfig = (sequence: number): Omit<AcceptedConfig, "text"> => ({
  sequence,
  index: sequence,
  changeId: `c${sequence}`,
  acceptedAt: "",
});

/** A backlog of five configurations, and their texts. */
const createBacklog = (): { backlog: ConfigBacklog; texts: string[] } => {
  const backlog = new ConfigBacklog();
  const config = new LargeConfig(80);
  const texts: string[] = [];
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    const text = config.next();
    backlog.add(createConfig(sequence), encodeConfigPayload(texts.at(-1), text));
    texts.push(text);
  }
  return { backlog, texts };
};
const textsOf = (configs: Iterable<AcceptedConfig>): string[] =>
  [...configs].map(({ text }) => text);

test("a backlog yields the complete text of each configuration, also after a release or a restore", () => {
  const { backlog, texts } = createBacklog();
  expect(textsOf(backlog.read())).toEqual(texts);
  expect(backlog.find(3)?.text).toBe(texts[2]);
  expect(backlog.find(6)).toBeUndefined();
  backlog.release(2);
  expect(textsOf(backlog.read())).toEqual(texts.slice(2));
  expect(backlog.find(2)).toBeUndefined();
  expect(backlog.textLength).toBe(texts.slice(2).join("").length);
  const restored = new ConfigBacklog();
  restored.restore([...backlog.read()]);
  expect(textsOf(restored.read())).toEqual(texts.slice(2));
  backlog.release(9);
  expect(textsOf(backlog.read())).toEqual(texts.slice(4));
  expect(backlog.newest?.text).toBe(texts[4]);
  backlog.release(4);
  expect(backlog.size).toBe(1);
});

test("a release during a read doesn't change what the read yields", () => {
  const { backlog, texts } = createBacklog();
  const reading = backlog.read();
  expect(reading.next().value?.text).toBe(texts[0]);
  backlog.release(5);
  expect(textsOf(reading)).toEqual(texts.slice(1));
});
