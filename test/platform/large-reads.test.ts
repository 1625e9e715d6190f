import { describe, expect, test } from "vitest";
import { ControlFixture, routeTo, type ConfigChangeBytes } from "./command-stage.js";

const machines = ["d:a", "d:b", "d:c", "e:a", "e:b"];
const thin = { limits: { linkMbps: 3.5 } };

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

const putOf = (routes: number): ConfigChangeBytes => ({
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [...Array.from({ length: routes }, (_, at) => routeTo(`r${at}`, "one")), service],
  }),
});

const startedFixture = (routes: number): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  for (const machine of fixture.machines)
    if (!machine.disk) machine.settings = { ...machine.settings, ...thin };
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putOf(routes))).toBe(200);
  fixture.wait(2000);
  return fixture;
};

describe("read of a large configuration", () => {
  test.each([1500, 2500])(
    "%i routes are read through any daemon: one with a thin link redirects to a replica of the log that isn't the leader",
    (routes) => {
      const fixture = startedFixture(routes);
      for (const machine of fixture.machines) {
        const call = fixture.sendRequest(machine, "GET", "config/get");
        fixture.wait(800);
        if (machine.disk) {
          expect(call.code).toBe(200);
          continue;
        }
        expect(call.code).toBe(307);
        const host = /^http:\/\/([^/]+)\/daledoor\/config\/get$/.exec(
          call.headers["location"] ?? "",
        )?.[1];
        const member = fixture.diskMachines.find(({ settings }) => settings.operators === host);
        expect(member).toBeDefined();
        expect(member).not.toBe(fixture.leader);
        if (!member) continue;
        const read = fixture.sendRequest(member, "GET", "config/get");
        fixture.wait(800);
        expect(read.code).toBe(200);
        expect(read.body.match(/"type":"routes"/g)).toHaveLength(routes);
      }
    },
  );
});

describe("read of a small configuration", () => {
  test("it is served by the daemon that is call, over a thin link too", () => {
    const fixture = startedFixture(20);
    for (const machine of fixture.machines) {
      const call = fixture.sendRequest(machine, "GET", "config/get");
      fixture.wait(800);
      expect(call.code).toBe(200);
    }
  });
});
