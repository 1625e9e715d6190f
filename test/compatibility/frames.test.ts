/**
 * Guards against a change that breaks a rolling update: daemons of both builds exchange these messages, so their encoding and
 * the keys of their JSON must stay as an earlier build wrote them.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { array, create, object, optional, record, string, unknown } from "superstruct";
import { beforeAll, describe, expect, test } from "vitest";
import {
  historyRecordTexts,
  encodedOutcomes,
  readers,
  reencodeOutcome,
  reencodeSketch,
  samples,
  RequestScript,
  encodeSketch,
  estimatesFromSketch,
  stepShape,
  RecordingFleet,
  unpackText,
} from "./frames.js";

const texts = record(string(), string());
const textLists = record(string(), array(string()));

/** The messages that were recorded between daemons of an earlier build. */
const recordedShape = object({
  /** Complete frames in hexadecimal digits, by the name of the message. */
  frames: texts,
  outcomes: texts,
  sketches: object({ withRoutes: string(), withoutRoutes: string(), estimates: unknown() }),
  /** JSON bodies with every optional field, the names of their readers, and the result of reading if it isn't the body itself. */
  bodies: array(object({ reader: string(), text: string(), read: optional(string()) })),
  packed: object({ packedText: string(), text: string() }),
  history: array(string()),
  steps: array(stepShape),
  answers: textLists,
  sent: textLists,
  meetingStates: array(string()),
});

const recorded = create(
  JSON.parse(readFileSync(join(import.meta.dirname, "frames-1dcfb69.json"), "utf8")),
  recordedShape,
);

describe("frames between daemons", () => {
  test("the samples cover exactly the recorded messages", () => {
    expect(samples.map(({ name }) => name).sort()).toEqual(Object.keys(recorded.frames).sort());
  });

  test.each([...samples])("$name is encoded to the recorded bytes", ({ name, hex }) => {
    expect(hex).toBe(recorded.frames[name]);
  });

  test.each([...samples])(
    "the recorded $name is decoded to the same value",
    ({ name, decodesFrom }) => {
      expect(decodesFrom(recorded.frames[name] ?? "")).toBe(true);
    },
  );
});

describe("binary bodies", () => {
  test("outcomes of requests with idempotency keys are encoded to the recorded bytes", () => {
    expect(encodedOutcomes()).toEqual(recorded.outcomes);
  });

  test.each(Object.entries(recorded.outcomes))(
    "the recorded outcome %s is decoded and encoded to the same bytes again",
    (_kind, hex) => {
      expect(reencodeOutcome(hex)).toBe(hex);
    },
  );

  test("sketches are encoded to the recorded bytes", () => {
    const { withRoutes, withoutRoutes } = recorded.sketches;
    expect(encodeSketch(true)).toBe(withRoutes);
    expect(encodeSketch(false)).toBe(withoutRoutes);
  });

  test("recorded sketches are decoded to the same counts and encoded to the same bytes again", () => {
    const { withRoutes, withoutRoutes, estimates } = recorded.sketches;
    expect(reencodeSketch(withRoutes)).toBe(withRoutes);
    expect(reencodeSketch(withoutRoutes)).toBe(withoutRoutes);
    expect(estimatesFromSketch(withRoutes)).toEqual(estimates);
  });

  test("configurations of the history are encoded to the recorded JSON", () => {
    expect(historyRecordTexts()).toEqual(recorded.history);
  });
});

describe("JSON bodies", () => {
  test.each(recorded.bodies.map((body, index) => ({ ...body, index })))(
    "a recorded $reader is read with every field ($index)",
    ({ reader, text, read }) => {
      expect(readers[reader]?.(text)).toBe(read ?? text);
    },
  );

  test("a recorded packed text is read", () => {
    expect(unpackText(recorded.packed.packedText)).toBe(recorded.packed.text);
  });
});

describe("a cluster that receives recorded requests", () => {
  const fleet = new RecordingFleet();
  const script = new RequestScript(fleet, recorded.sketches.withRoutes);
  beforeAll(() => {
    fleet.bootAll();
    fleet.wait(4000);
    for (const step of recorded.steps) script.send(step);
    fleet.runRecoveryAndLeaderDrain();
  }, 120_000);

  test.each(Object.keys(recorded.answers))("responds with the recorded keys: %s", (name) => {
    expect(script.responseKeyPaths.all[name]).toEqual(recorded.answers[name]);
  });

  test.each(Object.keys(recorded.sent))("sends messages with the recorded keys: %s", (name) => {
    expect(fleet.sentKeyPaths.all[name]).toEqual(recorded.sent[name]);
  });

  test("sends exactly the recorded kinds of messages", () => {
    expect(Object.keys(fleet.sentKeyPaths.all)).toEqual(Object.keys(recorded.sent));
  });

  test("sends the recorded names of bootstrap states", () => {
    expect([...fleet.bootstrapStates].sort()).toEqual(recorded.meetingStates);
  });
});
