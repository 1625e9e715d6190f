import { describe, expect, test } from "vitest";
import { ControlFixture, routeTo, type ConfigChangeBytes } from "./command-stage.js";

const machines = ["d:a", "d:b", "d:c", "e:a", "e:b"];
const slowLink = { limits: { linkMbps: 3.5 } };

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

const putRoutes = (routes: number): ConfigChangeBytes => ({
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [...Array.from({ length: routes }, (_, at) => routeTo(`r${at}`, "one")), service],
  }),
});

const startFixture = (routes: number): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  for (const machine of fixture.machines)
    if (!machine.disk) machine.settings = { ...machine.settings, ...slowLink };
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putRoutes(routes))).toBe(200);
  fixture.wait(2000);
  return fixture;
};

describe("read of a large configuration", () => {
  test.each([1500, 2500])(
    "%i routes are read through any daemon: one with a slow link redirects to a replica of the log that isn't the leader",
    (routes) => {
      const fixture = startFixture(routes);
      for (const machine of fixture.machines) {
        const request = fixture.sendRequest(machine, "GET", "config/get");
        fixture.wait(800);
        if (machine.disk) {
          expect(request.code).toBe(200);
          continue;
        }
        expect(request.code).toBe(307);
        const host = /^http:\/\/([^/]+)\/daledoor\/config\/get$/.exec(
          request.headers["location"] ?? "",
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
  test("every daemon serves it itself, also one with a slow link", () => {
    const fixture = startFixture(20);
    for (const machine of fixture.machines) {
      const request = fixture.sendRequest(machine, "GET", "config/get");
      fixture.wait(800);
      expect(request.code).toBe(200);
    }
  });
});
