/** The operator of a deployment: sends configurations to daemons chosen at random, and checks which are in force. */
import type { Deployment } from "./deployment.js";
import { epochMs } from "./event-log.js";
import { type HarnessResponse, sendHarnessRequest } from "./harness-request.js";

/** A change that is sent as an order. */
interface Order {
  readonly path: "put" | "patch";
  readonly base: number;
  readonly version: number;
  readonly body: unknown;
  readonly isValid: boolean;
}

interface Entry {
  readonly type: string;
  readonly meta: { readonly name?: string };
  readonly spec: unknown;
}

const CALL_TIMEOUT_MS = 1000;
const TIMEOUT_PER_ROUTE_MS = 3;
const FIRST_PAUSE_MS = 100;
const PAUSE_GROWTH = 1.5;
const GIVE_UP_MS = 15_000;
/** Marker routes that exist at a time, so that each lives longer than a change takes to be in force. */
const MARKERS = 12;
/** Machines that are probed after a change; more would make the harness late on a machine of eight cores. */
const PROBED_MACHINES = 10;
const PROBE_TIMEOUT_MS = 2000;
/** Statuses after which an order is not sent again. */
const FINAL_STATUSES = new Set([200, 400, 409, 412, 413, 422]);

/** Sends changes in a row and probes the daemons after each. */
export class DeploymentOperator {
  private readonly deployment: Deployment;
  private readonly random: () => number;
  /** Entries of the configuration in force, by type and name. */
  private entries = new Map<string, Entry>();
  private version = 0;
  private lastVersion = 0;
  private markerNumber = 0;
  private readonly probes: Array<Promise<void>> = [];
  /** Versions of changes that got no clear answer, on top of the newest one or on one like them; they may be in force. */
  private readonly unclearVersions = new Set<string>();

  constructor(deployment: Deployment, random: () => number) {
    this.deployment = deployment;
    this.random = random;
  }

  /** The newest version that was acknowledged. */
  get acknowledgedVersion(): number {
    return this.version;
  }

  /** Sends the first configuration until it is acknowledged; false if it isn't. */
  async putFirst(): Promise<boolean> {
    const { services, traffic } = this.deployment.profile;
    for (const { name } of services)
      this.setEntry({
        type: "services",
        meta: { name },
        spec: {
          healthPath: "/healthz",
          maxConns: 490,
          protocol: "h1",
          tls: false,
          idempotent: false,
        },
      });
    for (const { name, service, kind, deadlineMs, targetMs } of traffic)
      this.setEntry({
        type: "routes",
        meta: { name },
        spec: {
          host: "gateway.example",
          pfx: `/${name}/`,
          kind,
          deadline: `${deadlineMs}ms`,
          target_time: `${targetMs}ms`,
          prio: 1,
          svc: service,
          tries: 2,
        },
      });
    this.setEntry({
      type: "limits",
      meta: {},
      spec: { hdrMaxBytes: 16384, bodyMaxBytes: 67108864, hdrRead: "3000ms", idle: "15000ms" },
    });
    return this.putWhole();
  }

  /** Sends the whole configuration. */
  async putWhole(): Promise<boolean> {
    const version = this.nextVersion();
    const body = { ver: `r${version}`, objs: [...this.entries.values()] };
    return this.send({ path: "put", base: this.version, version, body, isValid: true });
  }

  /** Adds a marker route, removes the oldest one, and probes both at some daemons later. */
  async moveMarker(): Promise<boolean> {
    const removed = `marker-${this.markerNumber + 1 - MARKERS}`;
    const added = `marker-${this.markerNumber + 1}`;
    const entry = this.routeEntry(added);
    const version = this.nextVersion();
    const hasRemoved = this.entries.has(`routes ${removed}`);
    const body = {
      ver: `r${version}`,
      upsert: { objs: [entry] },
      remove: { routes: hasRemoved ? [removed] : [] },
    };
    const isDone = await this.send({
      path: "patch",
      base: this.version,
      version,
      body,
      isValid: true,
    });
    if (!isDone) return false;
    this.setEntry(entry);
    this.entries.delete(`routes ${removed}`);
    this.markerNumber += 1;
    this.probeLater(version, added, hasRemoved ? removed : undefined);
    return true;
  }

  /** Adds many routes in one change. */
  async addRoutes(count: number): Promise<boolean> {
    const entries = Array.from({ length: count }, (_, index) =>
      this.routeEntry(`bulk-${this.lastVersion}-${index}`),
    );
    const version = this.nextVersion();
    const body = { ver: `r${version}`, upsert: { objs: entries }, remove: {} };
    const order: Order = { path: "patch", base: this.version, version, body, isValid: true };
    const isDone = await this.send(order);
    if (isDone) for (const entry of entries) this.setEntry(entry);
    return isDone;
  }

  /** Sends a change that must be refused. */
  async sendInvalid(): Promise<void> {
    const version = this.nextVersion();
    const entry = this.routeEntry(`invalid-${version}`);
    const faults = [{ svc: "nowhere" }, { tries: 0 }, { kind: "other" }, { deadline: "900s" }];
    const spec = { ...entry.spec, ...faults[Math.floor(this.random() * faults.length)] };
    const body = { ver: `r${version}`, upsert: { objs: [{ ...entry, spec }] }, remove: {} };
    await this.send({ path: "patch", base: this.version, version, body, isValid: false });
  }

  /** Sends two changes on top of the same version at the same time; returns how many were acknowledged. */
  async race(): Promise<number> {
    const base = this.version;
    const outcomes = await Promise.all(
      [0, 1].map(async () => {
        const version = this.nextVersion();
        const entry = this.routeEntry(`race-${version}`);
        const body = { ver: `r${version}`, upsert: { objs: [entry] }, remove: {} };
        const isDone = await this.send({ path: "patch", base, version, body, isValid: true });
        if (isDone) this.setEntry(entry);
        return isDone;
      }),
    );
    return outcomes.filter(Boolean).length;
  }

  /** Waits for the last probes. */
  async finish(): Promise<void> {
    await Promise.all(this.probes);
  }

  /** Reads the configuration back at every machine; returns the machines that don't return the newest, with what they do. */
  async readBack(): Promise<string[]> {
    const { machines, ports } = this.deployment;
    const answers = await Promise.all(
      machines.map(async ({ name, ip }) => {
        const untilMs = epochMs() + this.deployment.profile.bounds.contactMs + GIVE_UP_MS;
        let answer = "nothing";
        while (epochMs() < untilMs) {
          const { status, body } = await this.follow(
            `${ip}:${ports.control}`,
            { method: "GET", path: "/daledoor/config/get" },
            CALL_TIMEOUT_MS * 3,
          );
          answer = status === 200 ? (/"ver":"(r\d+)"/.exec(body)?.[1] ?? "") : `status ${status}`;
          if (answer === `r${this.version}` || this.unclearVersions.has(answer)) return "";
          await this.pause(FIRST_PAUSE_MS * 5);
        }
        return `${name}: ${answer}`;
      }),
    );
    return answers.filter((answer) => answer !== "");
  }

  private routeEntry(name: string): Entry & { readonly spec: Record<string, unknown> } {
    const { services } = this.deployment.profile;
    const service = services[Math.floor(this.random() * services.length)]?.name ?? "";
    return {
      type: "routes",
      meta: { name },
      spec: {
        host: "gateway.example",
        pfx: `/${name}/`,
        kind: "safe",
        deadline: "3000ms",
        target_time: "1000ms",
        prio: 2,
        svc: service,
        tries: 2,
      },
    };
  }

  private setEntry(entry: Entry): void {
    this.entries.set(`${entry.type} ${entry.meta.name ?? ""}`, entry);
  }

  private nextVersion(): number {
    this.lastVersion += 1 + Math.floor(this.random() * 3);
    return this.lastVersion;
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Sends an order until it has a final answer; whether it was acknowledged. */
  private async send(order: Order): Promise<boolean> {
    const { machines, ports, log } = this.deployment;
    const text = JSON.stringify(order.body);
    const routes = this.entries.size;
    const sentMs = epochMs();
    const calls: string[] = [];
    let pauseMs = FIRST_PAUSE_MS;
    let status = 0;
    while (!FINAL_STATUSES.has(status) && epochMs() - sentMs < GIVE_UP_MS) {
      const machine = machines[Math.floor(this.random() * machines.length)];
      const calledMs = epochMs();
      const request = {
        method: "POST",
        path: `/daledoor/config/${order.path}`,
        headers: { "base-version": order.base === 0 ? "0" : `r${order.base}` },
        body: text,
      };
      const timeoutMs = CALL_TIMEOUT_MS + TIMEOUT_PER_ROUTE_MS * routes;
      ({ status } = await this.follow(`${machine?.ip ?? ""}:${ports.control}`, request, timeoutMs));
      calls.push(`${machine?.name ?? ""} ${status} ${Math.round(epochMs() - calledMs)}ms`);
      if (FINAL_STATUSES.has(status)) break;
      await this.pause(pauseMs);
      pauseMs *= PAUSE_GROWTH;
    }
    const isDone = status === 200;
    if (isDone && order.isValid) {
      this.version = Math.max(this.version, order.version);
      this.unclearVersions.clear();
    } else if (order.isValid && !FINAL_STATUSES.has(status))
      this.unclearVersions.add(`r${order.version}`);
    log.add({
      kind: "change",
      version: order.version,
      isValid: order.isValid,
      routes,
      sentMs,
      status,
      calls,
      ...(isDone ? { ackMs: epochMs() } : {}),
    });
    return isDone;
  }

  /** Sends a request and follows up to two redirects. */
  private async follow(
    address: string,
    request: { method: string; path: string; headers?: Record<string, string>; body?: string },
    timeoutMs: number,
  ): Promise<HarnessResponse> {
    let target = new URL(`http://${address}${request.path}`);
    for (let redirects = 0; ; redirects += 1) {
      const response = await sendHarnessRequest({
        ...request,
        host: target.hostname,
        port: Number(target.port),
        path: target.pathname,
        timeoutMs,
      });
      const { location } = response.headers;
      if (response.status !== 307 || redirects === 2 || typeof location !== "string")
        return response;
      target = new URL(location);
    }
  }

  /** Probes the added and the removed route at some daemons, once the change must be in force. */
  private probeLater(version: number, added: string, removed: string | undefined): void {
    const run = async (): Promise<void> => {
      await this.pause(this.deployment.profile.bounds.applyMs);
      const { machines } = this.deployment;
      const first = Math.floor(this.random() * machines.length);
      const probed = [...machines.slice(first), ...machines].slice(0, PROBED_MACHINES);
      await Promise.all(
        probed.map(async ({ ip }) => {
          await this.probe(ip, version, added, "present");
          if (removed !== undefined) await this.probe(ip, version, removed, "absent");
        }),
      );
    };
    this.probes.push(run());
  }

  private async probe(
    ip: string,
    version: number,
    route: string,
    expects: "present" | "absent",
  ): Promise<void> {
    // A later change may have removed the route already.
    if (expects === "present" && !this.entries.has(`routes ${route}`)) return;
    const sentMs = epochMs();
    const { status } = await sendHarnessRequest({
      host: ip,
      port: this.deployment.ports.http,
      method: "GET",
      path: `/${route}/probe`,
      headers: {
        host: "gateway.example",
        "try-id": `${version}-${ip}-${expects}`,
        "deadline-ms": String(PROBE_TIMEOUT_MS),
      },
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    const endedMs = epochMs();
    // A change that was sent meanwhile may be in force as well.
    if (expects === "present" && !this.entries.has(`routes ${route}`)) return;
    this.deployment.log.add({
      kind: "probe",
      machine: ip,
      version,
      expects,
      status,
      sentMs,
      endedMs,
    });
  }
}
