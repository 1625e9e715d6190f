/**
 * A client with a link of 10 Mbit/s sends downloads and small reads one behind the other on a connection. The machine is
 * stopped by SIGTERM. Once it has handed the last answer to its HTTP server, it closes the connection or ends, although
 * answers still wait in its own memory for room on the connection.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  limitsEntry,
  newId,
  routeEntry,
  runCase,
  serviceEntry,
  sleep,
} from "../lib/deployment.mjs";
import { pipeline } from "../lib/pipeline-client.mjs";

/** Servers of each service. */
const SERVERS = 4;
/** The requests of one connection: downloads of the size of the site's larger ones, then reads. */
const DOWNLOADS = 24;
const DOWNLOAD_BYTES = 500_000;
const READS = 120;
const READ_BYTES = 15_000;
const LINK_BYTES_PER_MS = 1250;
const DEADLINE_MS = 30_000;
/** SIGTERM is sent when the client has read this many bytes, somewhat less than half of the downloads. */
const READ_BEFORE_SIGTERM_BYTES = 5_000_000;
const GRACE_MS = Number.parseFloat(BOUNDS.grace) * 1000;

/** One client: resolves to its requests, with whether each was answered completely, and to how the connection ended. */
const useConnection = async (machine, { record, onRead }) => {
  const ids = Array.from({ length: DOWNLOADS + READS }, () => newId());
  const requests = ids.map((id, index) => {
    const path = index < DOWNLOADS ? "/download/1" : "/read/1";
    return `GET ${path} HTTP/1.1\r\nHost: a.example\r\nTry-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n\r\n`;
  });
  const startedMs = performance.now();
  const { answers, incomplete, ending } = await pipeline(machine.http, requests, {
    bytesPerMs: LINK_BYTES_PER_MS,
    untilMs: DEADLINE_MS,
    onRead,
  });
  const last = answers.at(-1);
  record.add("client", {
    sent: ids.length,
    answered: answers.length,
    statuses: [...new Set(answers.map(({ status }) => status))],
    connectionOfLastAnswer: last?.headers.connection,
    bytesMissingOfNext: incomplete?.missingBytes,
    ending,
    tookMs: Math.round(performance.now() - startedMs),
  });
  const isClosedByAnswer = last?.headers.connection === "close";
  return { unanswered: ids.slice(answers.length), ending, isClosedByAnswer };
};

const check = async ({ deployment, record, hasTrouble }) => {
  /** When each request's server had sent its whole answer. */
  const finishedMs = new Map();
  const answer = (exchange) => {
    const { server, response, tryId, request } = exchange;
    response.once("finish", () => finishedMs.set(tryId, performance.now()));
    const isDownload = request.url.startsWith("/download/");
    server.respond(exchange, Buffer.alloc(isDownload ? DOWNLOAD_BYTES : READ_BYTES, "x"));
    return true;
  };
  await deployment.start();
  await deployment.putConfig([
    routeEntry("r-download", {
      host: "a.example",
      pfx: "/download/",
      kind: "download",
      svc: "archive",
      deadline: "30s",
      targetTime: "30s",
    }),
    routeEntry("r-read", {
      host: "a.example",
      pfx: "/read/",
      kind: "safe",
      svc: "reader",
      deadline: "30s",
      targetTime: "30s",
    }),
    serviceEntry("archive"),
    serviceEntry("reader"),
    limitsEntry(),
  ]);
  await deployment.awaitReady();
  for (let number = 0; number < SERVERS; number += 1)
    for (const service of ["archive", "reader"]) await deployment.addServer({ service, answer });
  await sleep(2500);

  const [, machine] = deployment.machines;
  let onRead;
  let readBytes = 0;
  const partRead = new Promise((resolve) => {
    onRead = (bytes) => {
      readBytes += bytes;
      if (readBytes >= READ_BEFORE_SIGTERM_BYTES) resolve();
    };
  });
  const client = useConnection(machine, { record, onRead });
  await partRead;
  const sigtermMs = performance.now();
  if (hasTrouble) machine.signal("SIGTERM");
  const { unanswered, ending, isClosedByAnswer } = await client;
  // A request behind an answer that closes the connection counts as not read.
  if (isClosedByAnswer || ending === "the client gave up") return [];
  const lost = unanswered.filter(
    (id) => (finishedMs.get(id) ?? Infinity) < sigtermMs + GRACE_MS / 2,
  );
  record.add("unanswered", {
    requests: unanswered.length,
    answeredByServersInFirstHalfOfGrace: lost.length,
    lost,
  });
  return lost.length > 0 ? [`LOST: the client lost ${lost.length} answers (${ending})`] : [];
};

await runCase(dirname(fileURLToPath(import.meta.url)), {}, check);
