import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, newId, routeEntry, serviceEntry, limitsEntry, sleep, openConnection } from "../lib/deployment.mjs";
const folder = dirname(fileURLToPath(import.meta.url));
await runCase(folder, {}, async ({ deployment, record, hasTrouble }) => {
  await deployment.start(3);
  await deployment.putConfig([
    routeEntry("r-read", { host: "a.example", pfx: "/read/", kind: "safe", svc: "arhiv", deadline: "10s" }),
    routeEntry("r-write", { host: "a.example", pfx: "/write/", kind: "unsafe", svc: "arhiv", deadline: "10s" }),
    serviceEntry("arhiv"), limitsEntry(),
  ]);
  await deployment.awaitReady();
  const runs = new Map();
  for (let i = 0; i < 3; i++) await deployment.addServer({ service: "arhiv", answer: (x) => {
    record.add("runs", { id: x.tryId, url: x.request.url });
    if (x.request.url.startsWith("/write/")) { runs.set(x.tryId, 1); setTimeout(() => x.server.respond(x, Buffer.from("done")), hasTrouble ? 5000 : 1200); return true; }
    x.server.respond(x, Buffer.alloc(25000, "x"));
    return true;
  }});
  await sleep(2500);
  const s = await openConnection(deployment.machines[0].http);
  const started = performance.now();
  const log = [];
  let t = "";
  const closed = new Promise((res) => { s.on("data", (d) => { t += d; record.add("client reads", { bytes: d.length, head: String(d).slice(0, 120) }); }); s.once("close", () => { record.add("closed"); res(); }); setTimeout(res, 9000); });
  const id = newId();
  const get = () => `GET /read/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${newId()}\r\nDeadline-Ms: 9000\r\n\r\n`;
  s.write(`POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${id}\r\nDeadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nx`);
  s.write(get());
  await sleep(300);
  const g4 = get();
  s.write(get() + g4.slice(0, 40));
  await sleep(50);
  s.write(g4.slice(40));
  await closed;
  const first = t.split("\r\n")[0];
  s.destroy();
  return runs.has(id) && / (408|429|503|421) /.test(first) ? [`ran and answered ${first}`] : [];
});
