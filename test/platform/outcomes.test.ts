import { afterEach, expect, test } from "vitest";
import { RawStage } from "./rawStage.js";

let staged: RawStage | undefined;
const ready = async (count = 2): Promise<RawStage> => {
  staged = await RawStage.ready(count);
  return staged;
};
afterEach(async () => {
  await staged?.close();
  staged = undefined;
});

test("a request under way when the daemon closes its connections is not sent again", async () => {
  const stage = await ready(1);
  expect((await stage.ask("POST", "/unsafe/first")).code).toBe(200);
  stage.act = () => undefined;
  const seen = stage.stage.send("POST", "/unsafe/second");
  await stage.until(() => stage.heads.length === 2);
  stage.connections.close();
  await stage.until(() => seen.ending !== "open");
  await stage.wait(100);
  expect(stage.heads.map(({ path }) => path)).toEqual(["/unsafe/first", "/unsafe/second"]);
  expect(seen.code).toBe(502);
});
