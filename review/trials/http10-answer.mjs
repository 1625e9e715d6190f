/**
 * A trial, not a case: a server in trouble begins a large answer with a status line of HTTP/1.0; the client leaves before
 * its end.
 */
import { tmpdir } from "node:os";
import {
  limitsEntry,
  newId,
  openConnection,
  routeEntry,
  runCase,
  serviceEntry,
  sleep,
} from "../lib/deployment.mjs";

const ROUNDS = 5;
const STATED_BYTES = 60_000_000;
const SENT_BYTES = 30_000_000;

const check = async ({ deployment, hasTrouble }) => {
  const statusLine = `HTTP/1.${hasTrouble ? 0 : 1} 200 OK`;
  const answer = ({ response, tryId }) => {
    const { socket } = response;
    const head = [statusLine, `Try-Id: ${tryId}`, "Seal: s", `Content-Length: ${STATED_BYTES}`];
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    socket.write(Buffer.alloc(SENT_BYTES, "x"));
    return true;
  };
  await deployment.start();
  await deployment.putConfig([
    routeEntry("r-a", { host: "a.example", pfx: "/a/", kind: "download", svc: "archive" }),
    serviceEntry("archive"),
    limitsEntry(),
  ]);
  await deployment.awaitReady();
  for (let number = 0; number < 3; number += 1)
    await deployment.addServer({ service: "archive", answer });
  await sleep(2500);
  const [machine, other] = deployment.machines;
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const { http } of [machine, other]) {
      await deployment.awaitReady();
      const socket = await openConnection(http);
      socket.write(
        `GET /a/1 HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${newId()}\r\nDeadline-Ms: 5000\r\n\r\n`,
      );
      socket.once("data", () => socket.pause());
      await sleep(1500);
      socket.destroy();
      await sleep(500);
    }
  }
  const ends = deployment.machines.map(({ ends: list }) => list.length);
  return ends.filter((count) => count >= 3).length >= 2
    ? [`Fault: processes ended by themselves ${ends.join(", ")} times`]
    : ends.some((count) => count > 0)
      ? [`processes ended by themselves ${ends.join(", ")} times`]
      : [];
};

await runCase(tmpdir(), {}, check);
