import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  runCase,
  newId,
  routeEntry,
  serviceEntry,
  limitsEntry,
  sleep,
  openConnection,
} from "../lib/deployment.mjs";
const folder = dirname(fileURLToPath(import.meta.url));
const SIZE = Number(process.env.SIZE ?? 400000);
await runCase(folder, {}, async ({ deployment, record, hasTrouble }) => {
  await deployment.start(3);
  await deployment.putConfig([
    routeEntry("r-a", {
      host: "a.example",
      pfx: "/a/",
      kind: "idempotent",
      svc: "arhiv",
      deadline: "10s",
    }),
    serviceEntry("arhiv"),
    limitsEntry(),
  ]);
  await deployment.awaitReady();
  const runs = [];
  for (let i = 0; i < 3; i++)
    await deployment.addServer({
      service: "arhiv",
      answer: (x) => {
        runs.push([x.request.headers["op-key"], x.tryId, x.body.length]);
        return false;
      },
    });
  await sleep(2500);
  const post = async (machine, key, pieces, deadline) => {
    const s = await openConnection(machine.http);
    const id = newId();
    s.write(
      `POST /a/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${id}\r\nOp-Key: ${key}\r\nDeadline-Ms: ${deadline}\r\nContent-Length: ${SIZE}\r\n\r\n`,
    );
    let rest = Buffer.alloc(SIZE, "b");
    const got = new Promise((res) => {
      let t = "";
      s.on("data", (d) => {
        t += d;
        if (t.includes("\r\n\r\n")) res(t);
      });
      s.once("close", () => res(t));
    });
    for (const p of pieces) {
      s.write(rest.subarray(0, p));
      rest = rest.subarray(p);
      await sleep(20);
    }
    s.write(rest);
    const t = await got;
    s.destroy();
    return t.split("\r\n")[0] + " | " + t.split("\r\n\r\n")[1];
  };
  for (let i = 0; i < 5; i++) {
    const key = newId();
    record.add("first", { a: await post(deployment.machines[0], key, [], 9000) });
    record.add("repeat", {
      a: await post(
        deployment.machines[i % 3],
        key,
        hasTrouble ? [70000, 50000] : [],
        hasTrouble ? 9000 : 9000,
      ),
    });
    record.add("repeat2", { a: await post(deployment.machines[0], key, [], 900) });
  }
  record.add("runs", { runs });
  return [];
});
