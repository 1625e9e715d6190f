/**
 * Writes that may run once wait in the queues of busy servers until their deadline has passed; some servers send some of their
 * answers a second time, late. The rule: a write runs once at most.
 */
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { limits, newId, route, runCase, send, service, sleep } from "../lib-2/stage.mjs";

const SERVICE = "triaje";
/** Slots and queue of a server at the site rastro-gw, and how long a write works. */
const SLOTS = 3;
const QUEUE = 12;
const WORK_MS = 78;
const DEADLINE_MS = 200;
const SERVERS = 7;
/** `garble`, `extra late`: share 0.6 of the servers, x 0.03 of the answers. */
const IN_TROUBLE = 4;
const EVERY = 34;
/** As many as keep the servers and a part of their queues busy. */
const CLIENTS = 65;
const PLAY_MS = 92_000;
/** How late a second answer comes, counted from the arrival of the next request on its connection. */
const LATE_MS = { from: 202, to: 225 };

/** A server: works on three requests at a time and queues some; serves one request at a time on a connection. */
class Server {
  constructor(stage, number, runs, sendsCopies) {
    Object.assign(this, { stage, number, runs, sendsCopies });
    this.id = `i-${newId().slice(0, 8)}`;
    this.working = 0;
    this.queue = [];
    this.answers = 0;
    this.calls = 0;
    this.copies = 0;
    this.sockets = new Set();
    this.listener = net.createServer({ noDelay: true }, (socket) => this.onConnection(socket));
  }

  async start() {
    const host = `${this.stage.network}.${100 + this.number}`;
    await new Promise((resolve) => this.listener.listen({ host, port: 0 }, resolve));
    this.address = `${host}:${this.listener.address().port}`;
    await this.beat();
    this.timer = setInterval(() => void this.beat(), 1500);
  }

  stop() {
    clearInterval(this.timer);
    this.listener.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async beat() {
    const { machines } = this.stage;
    this.calls += 1;
    const body = JSON.stringify({
      svc: SERVICE,
      addr: this.address,
      zone: "zone-1",
      ver: "v1",
      capacity: SLOTS,
      state: "up",
      warmLeft: "0ms",
      calls: this.calls,
    });
    for (let turn = 0; turn < machines.length; turn += 1) {
      const machine = machines[(this.number + this.calls + turn) % machines.length];
      const path = `/daledoor/backends/${this.id}/heartbeat`;
      const { status } = await send(machine.at("ctl"), {
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body,
      });
      if (status === 200) return;
    }
  }

  onConnection(socket) {
    const connection = { socket, text: "", isBusy: false, surplus: undefined };
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("data", (bytes) => {
      connection.text += bytes.toString("latin1");
      this.readNext(connection);
    });
  }

  readNext(connection) {
    const end = connection.text.indexOf("\r\n\r\n");
    if (connection.isBusy || end < 0) return;
    const [, ...lines] = connection.text.slice(0, end).split("\r\n");
    connection.text = connection.text.slice(end + 4);
    const headers = Object.fromEntries(
      lines.map((line) => [
        line.slice(0, line.indexOf(":")).toLowerCase(),
        line.slice(line.indexOf(":") + 1).trim(),
      ]),
    );
    connection.isBusy = true;
    const request = {
      connection,
      id: headers["try-id"],
      atMs: performance.now(),
      deadlineMs: Number(headers["deadline-ms"]),
    };
    const { surplus } = connection;
    connection.surplus = undefined;
    // The surplus answer comes late, in the place of this request's answer.
    if (surplus !== undefined) {
      request.copyTimer = setTimeout(
        () => {
          if (connection.isBusy && connection.current === request) {
            this.copies += 1;
            this.stage.record("server: answer sent a second time", {
              server: this.id,
              copyOf: surplus.id,
              beforeTheAnswerTo: request.id,
              afterMs: Math.round(performance.now() - request.atMs),
            });
            connection.socket.write(surplus.text);
          }
        },
        LATE_MS.from + Math.random() * (LATE_MS.to - LATE_MS.from),
      );
    }
    connection.current = request;
    if (headers["want-backend"] !== this.id)
      return this.answer(request, "421 Misdirected Request", { "Try-Id": request.id });
    if (this.working < SLOTS) this.work(request);
    else if (this.queue.length < QUEUE) this.queue.push(request);
    else this.answer(request, "503 Service Unavailable", { "Not-Run": "1" });
  }

  work(request) {
    this.working += 1;
    const ran = this.runs.get(request.id) ?? [];
    ran.push(this.id);
    this.runs.set(request.id, ran);
    setTimeout(
      () => {
        this.working -= 1;
        this.answer(request, "200 OK", { "Try-Id": request.id, Seal: `${request.id}.0` }, true);
        this.takeNext();
      },
      WORK_MS * (0.7 + 0.6 * Math.random()),
    );
  }

  takeNext() {
    while (this.working < SLOTS && this.queue.length > 0) {
      const request = this.queue.shift();
      if (performance.now() - request.atMs > request.deadlineMs)
        this.answer(request, "503 Service Unavailable", { "Not-Run": "1" });
      else this.work(request);
    }
  }

  answer(request, status, headers, mayBeCopied = false) {
    const { connection, id } = request;
    clearTimeout(request.copyTimer);
    const text = `HTTP/1.1 ${status}\r\n${Object.entries(headers)
      .map(([n, v]) => `${n}: ${v}\r\n`)
      .join("")}Content-Length: 0\r\n\r\n`;
    if (mayBeCopied) this.answers += 1;
    if (mayBeCopied && this.sendsCopies && this.answers % EVERY === 0)
      connection.surplus = { id, text };
    if (connection.socket.writable) connection.socket.write(text);
    connection.isBusy = false;
    connection.current = undefined;
    setImmediate(() => this.readNext(connection));
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (stage, hasTrouble) => {
  await stage.prepare(3);
  for (const machine of stage.machines) {
    machine.restartMs = 500;
    machine.start();
  }
  const entries = [
    route("r-write", "/write/", "unsafe", SERVICE, {
      deadline: `${DEADLINE_MS}ms`,
      targetTime: "300ms",
    }),
    service(SERVICE),
    limits(),
  ];
  if (!(await stage.putConfig(entries, 20_000))) throw new Error("no configuration was taken");
  const runs = new Map();
  const answers = new Map();
  const statuses = new Map();
  const servers = [];
  for (let number = 1; number <= SERVERS; number += 1) {
    const s = new Server(stage, number, runs, hasTrouble && number <= IN_TROUBLE);
    servers.push(s);
    await s.start();
  }
  if (!(await stage.until(() => stage.allReady(), 15_000))) throw new Error("not ready");
  await sleep(1000);
  const endMs = performance.now() + PLAY_MS;
  const client = async () => {
    while (performance.now() < endMs) {
      const id = newId();
      const [machine] = stage.machines;
      const { status } = await send(machine.at("http"), {
        method: "POST",
        path: "/write/x",
        headers: {
          host: "gateway.example",
          "try-id": id,
          "deadline-ms": String(DEADLINE_MS),
          "content-length": "0",
        },
        timeoutMs: 2000,
      });
      answers.set(id, status);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      await sleep(Math.random() * 40);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, () => client()));
  await sleep(1500);
  const broken = [];
  for (const [id, where] of runs)
    if (where.length > 1)
      broken.push(`TWICE: ${id} ran at ${where.join(" and ")}, answered ${answers.get(id)}`);
  const refused = [...answers].filter(
    ([id, status]) => [429, 503, 408, 421].includes(status) && runs.has(id),
  );
  for (const [id, status] of refused) stage.record("REFUSED as well", { id, status });
  stage.record("summary", {
    statuses: Object.fromEntries(statuses),
    ran: runs.size,
    copies: servers.reduce((s, x) => s + x.copies, 0),
    twice: broken.length,
    refused: refused.length,
  });
  for (const s of servers) s.stop();
  return broken;
});
