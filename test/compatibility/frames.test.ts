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

/** What was recorded of the frames between daemons. */
const recordedShape = object({
  /** Whole frames in hexadecimal digits, by the name of the message. */
  frames: texts,
  outcomes: texts,
  sketches: object({ withRoutes: string(), withoutRoutes: string(), estimates: unknown() }),
  /** JSON bodies with every optional field, by whom they are read, and what is held then where that isn't the body. */
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
  test("every recorded message is one that is still sent", () => {
    expect(samples.map(({ name }) => name).sort()).toEqual(Object.keys(recorded.frames).sort());
  });

  test.each([...samples])("$name is encoded to the same bytes", ({ name, hex }) => {
    expect(hex).toBe(recorded.frames[name]);
  });

  test.each([...samples])(
    "$name is decoded to the same value",
    ({ name, decodesFrom: isReadFrom }) => {
      expect(isReadFrom(recorded.frames[name] ?? "")).toBe(true);
    },
  );
});

describe("binary bodies", () => {
  test("outcomes of requests with keys are encoded to the same bytes", () => {
    expect(encodedOutcomes()).toEqual(recorded.outcomes);
  });

  test.each(Object.entries(recorded.outcomes))("the outcome %s is decoded", (_kind, hex) => {
    expect(reencodeOutcome(hex)).toBe(hex);
  });

  test("sketches are encoded to the same bytes", () => {
    const { withRoutes, withoutRoutes } = recorded.sketches;
    expect(encodeSketch(true)).toBe(withRoutes);
    expect(encodeSketch(false)).toBe(withoutRoutes);
  });

  test("sketches are decoded to the same counts and encoded again to the same bytes", () => {
    const { withRoutes, withoutRoutes, estimates } = recorded.sketches;
    expect(reencodeSketch(withRoutes)).toBe(withRoutes);
    expect(reencodeSketch(withoutRoutes)).toBe(withoutRoutes);
    expect(estimatesFromSketch(withRoutes)).toEqual(estimates);
  });

  test("configurations of the history travel in the same words", () => {
    expect(historyRecordTexts()).toEqual(recorded.history);
  });
});

describe("JSON bodies", () => {
  test.each(recorded.bodies.map((body, at) => ({ ...body, at })))(
    "a $reader is read with every field it had ($at)",
    ({ reader, text, read }) => {
      expect(readers[reader]?.(text)).toBe(read ?? text);
    },
  );

  test("a packed text is read", () => {
    expect(unpackText(recorded.packed.packedText)).toBe(recorded.packed.text);
  });
});

describe("a fleet that is asked as it was before", () => {
  const fleet = new RecordingFleet();
  const script = new RequestScript(fleet, recorded.sketches.withRoutes);
  beforeAll(() => {
    fleet.bootAll();
    fleet.wait(4000);
    for (const step of recorded.steps) script.send(step);
    fleet.runRecoveryAndLeaderDrain();
  }, 120_000);

  test.each(Object.keys(recorded.answers))("answers with the same keys: %s", (name) => {
    expect(script.responseKeyPaths.all[name]).toEqual(recorded.answers[name]);
  });

  test.each(Object.keys(recorded.sent))("sends with the same keys: %s", (name) => {
    expect(fleet.sentKeyPaths.all[name]).toEqual(recorded.sent[name]);
  });

  test("sends nothing that was not recorded", () => {
    expect(Object.keys(fleet.sentKeyPaths.all)).toEqual(Object.keys(recorded.sent));
  });

  test("names the states of members by the same words", () => {
    expect([...fleet.bootstrapStates].sort()).toEqual(recorded.meetingStates);
  });
});
