import { control } from "../../platform/control.js";
import { headerNames } from "../../platform/header-names.js";
import type { ProxyRequest } from "../../src/proxy/proxy-request.js";
import type { ClientResponse } from "../../src/proxy/request-outcome.js";
import type { Settings } from "../../src/daemon/settings.js";
import { ClusterFixture, type FixtureMachine } from "../replication/fleet-stage.js";

/** A request to the admin API with its response, if it has arrived, and the times of both. */
export interface RecordedRequest {
  readonly sentMs: number;
  respondedMs: number | undefined;
  code: number | undefined;
  headers: Record<string, string>;
  body: string;
}

/** A configuration change as an operator sends it, byte for byte. */
export interface ConfigChangeBytes {
  readonly target: "config/put" | "config/patch";
  readonly base: string;
  readonly body: string;
}

/** The fields of a backend's heartbeat. */
export interface Heartbeat {
  readonly id: string;
  readonly calls: number;
  readonly state?: "up" | "draining";
  readonly service?: string;
}

const service = (name: string) => ({
  type: "services",
  meta: { name },
  spec: { healthPath: "/healthz", maxConns: 150, protocol: "h1", tls: false, idempotent: false },
});

/** Creates an entry for a route to a service. */
export const routeTo = (name: string, svc: string) => ({
  type: "routes",
  meta: { name },
  spec: {
    host: "a.example",
    pfx: `/${name}/`,
    kind: "safe",
    deadline: "1000ms",
    target_time: "250ms",
    prio: 2,
    svc,
    tries: 2,
  },
});

/** A change to a complete configuration with one route; `note` distinguishes it from others with the same version. */
export const putConfig = (base: number, version: number, note = "x"): ConfigChangeBytes => ({
  target: "config/put",
  base: base === 0 ? "0" : `r${base}`,
  body: JSON.stringify({
    ver: `r${version}`,
    objs: [
      routeTo(note, "one"),
      service("one"),
      {
        type: "limits",
        meta: {},
        spec: { hdrMaxBytes: 16_384, bodyMaxBytes: 67_108_864, hdrRead: "3000ms", idle: "15000ms" },
      },
    ],
  }),
});

/** A change of entries: adds a route, and optionally its service. */
export const patchConfig = (
  base: number,
  version: number,
  route: { name: string; svc: string; addsService?: boolean },
): ConfigChangeBytes => ({
  target: "config/patch",
  base: `r${base}`,
  body: JSON.stringify({
    ver: `r${version}`,
    upsert: {
      objs: [
        routeTo(route.name, route.svc),
        ...(route.addsService === true ? [service(route.svc)] : []),
      ],
    },
  }),
});

/** A simulated fleet whose admin APIs get requests in the platform's format. */
export class ControlFixture extends ClusterFixture {
  constructor(machines: readonly string[], seeds: readonly number[], more: Partial<Settings> = {}) {
    super(machines, seeds, more);
  }

  /** The platform's headers. */
  static readonly headerNames = headerNames;

  /** Sends a request to a machine's admin API; a machine that is down never responds. */
  sendRequest(
    machine: FixtureMachine,
    method: string,
    target: string,
    body = "",
    headers: Record<string, string> = {},
  ): RecordedRequest {
    const request: RecordedRequest = {
      sentMs: this.virtualClock.nowMs(),
      respondedMs: undefined,
      code: undefined,
      headers: {},
      body: "",
    };
    const recordResponse = (response: ClientResponse): void => {
      request.code = response.code;
      request.headers = response.headers;
      request.body = Buffer.from(response.body).toString();
      request.respondedMs = this.virtualClock.nowMs();
    };
    const clientRequest: ProxyRequest = {
      method,
      target: `/daledoor/${target}`,
      headers,
      body: Buffer.from(body),
    };
    const translated = control.translateRequest(clientRequest);
    if ("code" in translated) recordResponse(translated);
    else
      machine.daemon?.adminRequests.emit({
        clientRequest: translated.clientRequest,
        respond: (response) => recordResponse(translated.translateResponse(response)),
      });
    return request;
  }

  /** A heartbeat of a backend, as the platform's backends send them. */
  heartbeat(
    machine: FixtureMachine,
    { id, calls, state = "up", service = "one" }: Heartbeat,
  ): RecordedRequest {
    const body = {
      svc: service,
      addr: `10.1.0.${id}:90`,
      zone: "a",
      ver: "1",
      capacity: 2,
      state,
      warmLeft: "0ms",
      calls,
    };
    return this.sendRequest(machine, "POST", `backends/${id}/heartbeat`, JSON.stringify(body));
  }

  /** Sends a configuration change to a machine's admin API. */
  submit(machine: FixtureMachine, { target, base, body }: ConfigChangeBytes): RecordedRequest {
    return this.sendRequest(machine, "POST", target, body, { "base-version": base });
  }

  /** Retries a configuration change, at each machine in turn, until it gets a final response; returns its status code. */
  submitUntilFinal(command: ConfigChangeBytes, from = 0, timeoutMs = 20_000): number {
    const deadlineMs = this.virtualClock.nowMs() + timeoutMs;
    for (let index = from; this.virtualClock.nowMs() < deadlineMs; index += 1) {
      const request = this.submit(this.machineAt(index % this.machines.length), command);
      const responseDeadlineMs = this.virtualClock.nowMs() + 1000;
      while (request.code === undefined && this.virtualClock.nowMs() < responseDeadlineMs)
        this.wait(5);
      if (request.code !== undefined && request.code < 500) return request.code;
      this.wait(100);
    }
    throw new Error(
      `No final response within ${timeoutMs} ms.\n${this.logLines.slice(-30).join("\n")}`,
    );
  }

  /** Reads the version of the active configuration through a machine; undefined without a successful response. */
  newestVersion(machine: FixtureMachine): string | undefined {
    const request = this.sendRequest(machine, "GET", "config/get");
    this.wait(1000);
    return request.code === 200 ? /"ver":"(r\d+)"/.exec(request.body)?.[1] : undefined;
  }

  /** Blocks the network from some machines to others, in this direction only. */
  blockLinks(from: readonly FixtureMachine[], to: readonly FixtureMachine[]): void {
    for (const source of from)
      for (const target of to)
        this.network.partition(source.settings.machine, target.settings.machine);
  }
}
