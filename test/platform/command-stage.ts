import { control } from "../../platform/control.js";
import { headerNames } from "../../platform/header-names.js";
import type { ProxyRequest } from "../../src/proxy/proxy-request.js";
import type { ClientResponse } from "../../src/proxy/request-outcome.js";
import type { Settings } from "../../src/daemon/settings.js";
import { ClusterFixture, type FixtureMachine } from "../replication/fleet-stage.js";

/** A call on a control address: its answer once there is one, and how long that took. */
export interface RecordedRequest {
  readonly sentMs: number;
  respondedMs: number | undefined;
  code: number | undefined;
  headers: Record<string, string>;
  body: string;
}

/** An order of an operator, as bytes. */
export interface ConfigChangeBytes {
  readonly target: "config/put" | "config/patch";
  readonly base: string;
  readonly body: string;
}

/** What a backend tells of itself. */
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

/** A route to a service. */
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

/** A whole configuration with one route; `note` tells it from others under the same version. */
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

/** A change of items: a route, and a service of that name beside it if wanted. */
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

/** A staged fleet whose control addresses are called in the platform's words. */
export class ControlFixture extends ClusterFixture {
  constructor(machines: readonly string[], seeds: readonly number[], more: Partial<Settings> = {}) {
    super(machines, seeds, more);
  }

  /** The platform's headers. */
  static readonly headerNames = headerNames;

  /** Sends a request to a machine's control address; a machine that is down never answers. */
  sendRequest(
    machine: FixtureMachine,
    method: string,
    target: string,
    body = "",
    headers: Record<string, string> = {},
  ): RecordedRequest {
    const sendRequest: RecordedRequest = {
      sentMs: this.virtualClock.nowMs(),
      respondedMs: undefined,
      code: undefined,
      headers: {},
      body: "",
    };
    const give = (response: ClientResponse): void => {
      sendRequest.code = response.code;
      sendRequest.headers = response.headers;
      sendRequest.body = Buffer.from(response.body).toString();
      sendRequest.respondedMs = this.virtualClock.nowMs();
    };
    const clientRequest: ProxyRequest = {
      method,
      target: `/daledoor/${target}`,
      headers,
      body: Buffer.from(body),
    };
    const read = control.translateRequest(clientRequest);
    if ("code" in read) give(read);
    else
      machine.daemon?.adminRequests.emit({
        clientRequest: read.clientRequest,
        respond: (response) => give(read.translateResponse(response)),
      });
    return sendRequest;
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

  submit(machine: FixtureMachine, { target, base, body }: ConfigChangeBytes): RecordedRequest {
    return this.sendRequest(machine, "POST", target, body, { "base-version": base });
  }

  /** Sends an order again and again, to one machine after another, until it has a clear answer. */
  submitUntilFinal(command: ConfigChangeBytes, from = 0, atMostMs = 20_000): number {
    const untilMs = this.virtualClock.nowMs() + atMostMs;
    for (let at = from; this.virtualClock.nowMs() < untilMs; at += 1) {
      const sendRequest = this.submit(this.machineAt(at % this.machines.length), command);
      const patienceMs = this.virtualClock.nowMs() + 1000;
      while (sendRequest.code === undefined && this.virtualClock.nowMs() < patienceMs) this.wait(5);
      if (sendRequest.code !== undefined && sendRequest.code < 500) return sendRequest.code;
      this.wait(100);
    }
    throw new Error(`No clear answer.\n${this.logLines.slice(-30).join("\n")}`);
  }

  /** What the newest configuration is called, read through a machine; undefined where there is no clear answer. */
  newestVersion(machine: FixtureMachine): string | undefined {
    const sendRequest = this.sendRequest(machine, "GET", "config/get");
    this.wait(1000);
    return sendRequest.code === 200 ? /"ver":"(r\d+)"/.exec(sendRequest.body)?.[1] : undefined;
  }

  /** Cuts all ways from some machines to others, one way only. */
  blockLinks(from: readonly FixtureMachine[], to: readonly FixtureMachine[]): void {
    for (const one of from)
      for (const other of to) this.network.partition(one.settings.machine, other.settings.machine);
  }
}
