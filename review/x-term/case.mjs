import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, newId, routeEntry, serviceEntry, limitsEntry, sleep } from "../lib/deployment.mjs";
import { pipeline } from "../lib/pipeline-client.mjs";
const folder = dirname(fileURLToPath(import.meta.url));
const N = Number(process.env.N ?? 60), SIZE = Number(process.env.SIZE ?? 12000), BIG = Number(process.env.BIG ?? 12e6), CLIENTS = Number(process.env.CLIENTS ?? 6), RATE = 1250, TERM = Number(process.env.TERM_AT ?? 4000);
await runCase(folder, {}, async ({ deployment, record, hasTrouble }) => {
  await deployment.start(3);
  await deployment.putConfig([
    routeEntry("r-a", { host: "a.example", pfx: "/a/", kind: "safe", svc: "arhiv", deadline: "30s" }),
    serviceEntry("arhiv"), limitsEntry(),
  ]);
  await deployment.awaitReady();
  const ran = new Map();
  for (let i = 0; i < 3; i++) await deployment.addServer({ service: "arhiv", answer: (x) => {
    const size = Number(/\/a\/(\d+)/.exec(x.request.url)[1]);
    x.server.respond(x, Buffer.alloc(size, "x"));
    x.response.once("finish", () => ran.set(x.tryId, performance.now()));
    return true;
  }});
  await sleep(2500);
  const machine = deployment.machines[1];
  const startedMs = performance.now();
  const runs = Array.from({ length: CLIENTS }, async (_, c) => {
    const ids = Array.from({ length: N + (BIG ? 1 : 0) }, () => newId());
    const reqs = ids.map((id, i) => `GET /a/${i === 0 && BIG ? BIG : SIZE} HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${id}\r\nDeadline-Ms: 30000\r\n\r\n`);
    const r = await pipeline(machine.http, reqs, { bytesPerMs: RATE, untilMs: 30000 });
    record.add("client", { c, answered: r.answers.length, of: ids.length, ending: r.ending, last: r.answers.at(-1)?.headers.connection, inc: r.incomplete, statuses: [...new Set(r.answers.map(a => a.status))], ranUnanswered: ids.slice(r.answers.length).filter(id => ran.has(id)).length });
    return { r, ids };
  });
  let termMs = 0;
  if (hasTrouble) { await sleep(TERM); termMs = performance.now(); machine.signal("SIGTERM"); }
  const all = await Promise.all(runs);
  let lost = 0;
  for (const { r, ids } of all) {
    if (r.answers.at(-1)?.headers.connection === "close") continue;
    for (const id of ids.slice(r.answers.length)) if (ran.has(id)) lost++;
  }
  return lost ? [`lost ${lost}`] : [];
});
