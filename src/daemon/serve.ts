import { HttpBackendClient } from "../proxy/upstream/http-backend-client.js";
import { ProxyRequest } from "../proxy/proxy-request.js";
import { ClientResponse } from "../proxy/request-outcome.js";
import { Network } from "../runtime/network.js";
import { ConfigArchive } from "../admin/config-archive.js";
import type { Adapter } from "./adapter.js";
import { Bounds } from "./bounds.js";
import { Clock } from "../runtime/clock.js";
import { Daemon } from "./daemon.js";
import { Disk } from "../runtime/disk.js";
import { HttpServer } from "./http-server.js";
import { LinkPacers } from "../runtime/link-pacer.js";
import { LoggerFactory } from "../runtime/logger.js";
import { monitorProcess } from "./process-monitor.js";
import { Settings } from "./settings.js";
import { SettingsError } from "./settings-error.js";
import { SettingsFile } from "./settings-file.js";
import { EventStream } from "../runtime/event-stream.js";
import { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";

/** How a daemon is run besides its settings. */
export interface ServeOptions {
  /** Where the daemon serves a platform that has words of its own. */
  readonly adapter?: Adapter;
  /** Whether accepted configs are also kept in a Git repository. */
  readonly archive?: boolean;
}

/** How often the settings file is looked at. */
const lookMs = 1000;
const configBodyBytes = 64 * 1024 * 1024;

/** Runs the daemon of this machine until it is told to stop; ends with the exit code. */
export const serve = async (
  file: SettingsFile,
  { adapter, archive: isArchived = false }: ServeOptions = {},
): Promise<number> => {
  let settings = file.read();
  const logbook = LoggerFactory.create(settings.machine, settings.logLevel ?? "info");
  const log = logbook.component("machine");
  const clock = Clock.real();
  const wire = Network.tcp();
  const pacers = LinkPacers.of(clock, settings.limits?.linkMbps);
  const backendClient = new HttpBackendClient(clock, { proof: adapter?.headerNames.proof, pacers });
  return new Promise<number>((end) => {
    const fail = (error: unknown): void => {
      log.error("The daemon can't run.", error);
      end(1);
    };
    const life = function* (): Task<number> {
      const disk =
        settings.dataFolder === undefined ? undefined : yield* Disk.open(settings.dataFolder);
      const broken = (part: string, error: unknown): void => {
        logbook.component(part).error("A task broke off; the daemon ends.", error);
        end(1);
      };
      const archive =
        settings.dataFolder !== undefined && isArchived
          ? new ConfigArchive(settings.dataFolder, logbook.component("operator"))
          : undefined;
      const runtime: Runtime = {
        clock,
        network: wire,
        disk,
        loggers: logbook,
        onTaskFailure: broken,
        random: Math.random,
        wallTime: () => new Date(),
      };
      const daemon = new Daemon(runtime, settings, {
        backendClient,
        archive,
        pacers,
        ...(adapter ? { headerNames: adapter.headerNames } : {}),
      });
      const control = (takes: (clientRequest: ProxyRequest) => boolean): HttpServer => {
        const server = new HttpServer(
          (clientRequest, client) => {
            const read = adapter
              ? adapter.control.into(clientRequest)
              : { clientRequest, back: (response: ClientResponse) => response };
            if ("code" in read) client.respond(read);
            else if (takes(read.clientRequest))
              daemon.operators.emit({
                clientRequest: read.clientRequest,
                give: (response) => client.respond(read.back(response)),
              });
            else
              client.respond(ClientResponse.json(404, { error: "Only readiness is served here." }));
          },
          { egress: pacers.egress, transferClass: "control" },
        );
        server.bound({ bodyBytes: configBodyBytes });
        return server;
      };
      const callers = new HttpServer(
        (clientRequest, client) => daemon.callers.emit({ clientRequest, client }),
        {
          wholeOnly: false,
          egress: pacers.egress,
        },
      );
      const operators = control(() => true);
      const readiness = control(
        (clientRequest) =>
          clientRequest.method === "GET" && ProxyRequest.path(clientRequest) === "/ready",
      );
      daemon.onLimits = (limits) => callers.bound(limits);
      yield* daemon.start();
      yield* operators.listen(settings.operators);
      if (settings.ready !== undefined) yield* readiness.listen(settings.ready);
      const callersAt = Settings.roles(settings).includes("edge") ? settings.callers : undefined;
      if (callersAt !== undefined) yield* callers.listen(callersAt);

      const readAgain = (): void => {
        try {
          const after = file.read();
          const { applied, needRestart } = Settings.difference(settings, after);
          if (applied.includes("logLevel")) logbook.setLevel(after.logLevel ?? "info");
          if (applied.includes("seeds")) daemon.setSeeds(after.seeds);
          log.info("Settings were read again.", { applied, needRestart });
          settings = { ...settings, logLevel: after.logLevel ?? "info", seeds: after.seeds };
        } catch (error) {
          log.warn("The settings on file have faults; the old ones stay.", {
            faults: error instanceof SettingsError ? error.faults : String(error),
          });
        }
      };
      const looking = function* (): Task {
        for (;;) {
          yield* Clock.sleep(clock, lookMs);
          if (file.hasChanged) readAgain();
        }
      };
      Task.start(looking(), fail);
      Task.start(monitorProcess(clock, log), fail);
      const signals = new EventStream<"SIGTERM" | "SIGINT" | "SIGHUP">();
      for (const name of ["SIGTERM", "SIGINT", "SIGHUP"] as const)
        process.on(name, () => signals.emit(name));
      signals.subscribe(clock.scheduler, (name) => {
        if (name === "SIGHUP") readAgain();
      });
      yield* Task.wait<string>((done) =>
        signals.subscribe(clock.scheduler, (name) => {
          if (name !== "SIGHUP") done(name);
        }),
      );
      const untilMs = clock.nowMs() + Bounds.of(settings).abandonMs;
      callers.partWithCallers();
      yield* daemon.drain(() => {
        if (callersAt !== undefined) callers.close();
      });
      while (callers.unfinished > 0 && clock.nowMs() < untilMs) yield* Clock.sleep(clock, 20);
      yield* Clock.sleep(clock, 50);
      callers.end();
      for (const server of [operators, readiness]) {
        server.close();
        server.end();
      }
      wire.close();
      backendClient.close();
      return 0;
    };
    Task.start(life(), fail, end);
  });
};

/** Runs the daemon that a file in the product's own words describes, with flags laid over it. */
export const run = (file: string | undefined, flags: Record<string, unknown>): Promise<number> =>
  serve(SettingsFile.own(file, flags), { archive: true });
