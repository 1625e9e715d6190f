import { expect, test } from "vitest";
import { OrderStage, routeTo, type OrderBytes } from "./command-stage.js";

const machines = ["d:a", "d:b", "d:c", "e:a", "e:b"];
const thin = { limits: { linkMbps: 3.5 } };

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

const putOf = (routes: number): OrderBytes => ({
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [...Array.from({ length: routes }, (_, at) => routeTo(`r${at}`, "one")), service],
  }),
});

const begun = (routes: number): OrderStage => {
  const stage = new OrderStage(machines, [0, 1, 2]);
  for (const machine of stage.machines)
    if (!machine.disk) machine.settings = { ...machine.settings, ...thin };
  stage.bootAll();
  stage.wait(4000);
  expect(stage.untilClear(putOf(routes))).toBe(200);
  stage.wait(2000);
  return stage;
};

test.each([1500, 2500])(
  "a configuration of %i routes is read through any daemon: one with a thin link names a member of the log that doesn't lead",
  (routes) => {
    const stage = begun(routes);
    for (const machine of stage.machines) {
      const asked = stage.call(machine, "GET", "config/get");
      stage.wait(800);
      if (machine.disk) {
        expect(asked.code).toBe(200);
        continue;
      }
      expect(asked.code).toBe(307);
      const host = /^http:\/\/([^/]+)\/daledoor\/config\/get$/.exec(
        asked.headers["location"] ?? "",
      )?.[1];
      const member = stage.disks.find(({ settings }) => settings.operators === host);
      expect(member).toBeDefined();
      expect(member).not.toBe(stage.leader);
      if (!member) continue;
      const read = stage.call(member, "GET", "config/get");
      stage.wait(800);
      expect(read.code).toBe(200);
      expect(read.body.match(/"type":"routes"/g)).toHaveLength(routes);
    }
  },
);

test("a short configuration is read where it is asked for, over a thin link too", () => {
  const stage = begun(20);
  for (const machine of stage.machines) {
    const asked = stage.call(machine, "GET", "config/get");
    stage.wait(800);
    expect(asked.code).toBe(200);
  }
});
