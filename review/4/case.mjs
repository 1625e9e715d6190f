/**
 * Clients upload bodies of some hundred KB in chunks, more than the link of an edge carries before the route's deadline. The
 * rule: a backend runs no request whose body differs from what the client sent.
 */
import { createHash } from "node:crypto";
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { limits, newId, route, runCase, service, sleep } from "../lib-2/stage.mjs";

const SERVICE = "opazovanja";
/** The links of the site ptice-vrata-grown: with a disk 100 Mbit/s, without one 2.87 Mbit/s. */
const NET_MBPS = { disk: 100, other: 2.87 };
/** The route's deadline: that of sighting-submit at that site, or one that no upload reaches. */
const DEADLINE_MS = { withTrouble: 3482, without: 100_000 };
/** How long a client itself waits. */
const CLIENT_DEADLINE_MS = 30_000;
const CLIENTS_PER_EDGE = 4;
const PLAY_MS = 30_000;
const BODY_KB = { from: 300, to: 700 };
const CHUNK_BYTES = 8 * 1024;

const digest = (bytes) => createHash("sha256").update(bytes).digest("hex").slice(0, 16);

/** A body of numbered lines, in chunks. */
const makeChunks = (id, bytes) => {
  let text = "";
  for (let line = 0; text.length < bytes; line += 1) text += `${id} sighting ${line}\n`;
  const body = Buffer.from(text.slice(0, bytes));
  const chunks = [];
  for (let from = 0; from < bytes; from += CHUNK_BYTES)
    chunks.push(body.subarray(from, from + CHUNK_BYTES));
  return { body, chunks };
};

/** Uploads one body in chunks, as fast as the connection takes it, and reads the answer. */
const upload = (stage, machine, sent) =>
  new Promise((resolve) => {
    const id = newId();
    const { from, to } = BODY_KB;
    const bytes = Math.floor((from + Math.random() * (to - from)) * 1024);
    const { body, chunks } = makeChunks(id, bytes);
    sent.set(id, { bytes, digest: digest(body) });
    const socket = net.connect({ ...machine.at("http"), noDelay: true });
    let answer = "";
    socket.on("error", () => undefined);
    socket.on("close", () => {
      if (answer === "") stage.record("client: no answer", { id });
      resolve();
    });
    socket.on("data", (part) => {
      answer += part.toString("latin1");
      if (!answer.includes("\r\n\r\n")) return;
      stage.record("client: answered", { id, status: answer.split("\r\n")[0] });
      socket.end();
    });
    socket.on("connect", () => {
      stage.record("client: upload", { id, to: machine.name, bytes, digest: digest(body) });
      const head = [
        "POST /upload/sighting HTTP/1.1",
        "Host: gateway.example",
        `Try-Id: ${id}`,
        `Op-Key: k-${id}`,
        `Deadline-Ms: ${CLIENT_DEADLINE_MS}`,
        "Transfer-Encoding: chunked",
      ];
      socket.write(`${head.join("\r\n")}\r\n\r\n`);
      for (const chunk of chunks) {
        socket.write(`${chunk.length.toString(16)}\r\n`);
        socket.write(chunk);
        socket.write("\r\n");
      }
      socket.write("0\r\n\r\n");
    });
    setTimeout(() => socket.destroy(), CLIENT_DEADLINE_MS).unref();
  });

await runCase(dirname(fileURLToPath(import.meta.url)), async (stage, hasTrouble) => {
  stage.netMbps = NET_MBPS;
  await stage.prepare(3, 2);
  for (const machine of stage.machines) {
    machine.restartMs = 500;
    machine.start();
  }
  const deadline = `${hasTrouble ? DEADLINE_MS.withTrouble : DEADLINE_MS.without}ms`;
  const entries = [
    route("r-upload", "/upload/", "idempotent", SERVICE, { deadline, targetTime: "928ms" }),
    service(SERVICE),
    limits(),
  ];
  if (!(await stage.putConfig(entries, 20_000))) throw new Error("no configuration was taken");
  const sent = new Map();
  const changed = [];
  let runs = 0;
  const onRequest = ({ request, body, backend }) => {
    const id = request.headers["try-id"];
    const isWhole = digest(body) === sent.get(id)?.digest;
    runs += 1;
    stage.record("backend: runs", { id, backend: backend.id, bytes: body.length, isWhole });
    if (!isWhole)
      changed.push(`${id}: ${sent.get(id)?.bytes} bytes were sent, ${body.length} bytes ran`);
    return false;
  };
  for (let number = 0; number < 3; number += 1) await stage.addBackend(SERVICE, onRequest);
  if (!(await stage.until(() => stage.allReady(), 15_000))) throw new Error("not ready");
  await sleep(1000);
  const endMs = performance.now() + PLAY_MS;
  const clients = stage.machines
    .filter(({ hasDisk }) => !hasDisk)
    .flatMap((machine) => Array.from({ length: CLIENTS_PER_EDGE }, () => machine))
    .map(async (machine, number) => {
      await sleep(number * 170);
      while (performance.now() < endMs) await upload(stage, machine, sent);
    });
  await Promise.all(clients);
  await sleep(1500);
  stage.record("summary", { uploads: sent.size, runs, changed: changed.length });
  if (runs === 0) throw new Error("no upload ran");
  return changed;
});
