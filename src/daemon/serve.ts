/** Runs the daemon of this machine as a process: opens its disk and servers, reloads settings, and drains on a signal. */
import { ConfigArchive } from "../admin/config-archive.js";
import { HttpBackendClient } from "../proxy/upstream/http-backend-client.js";
import { type Clock, systemClock, sleep } from "../runtime/clock.js";
import { openDisk } from "../runtime/disk.js";
import { EventStream } from "../runtime/event-stream.js";
import { type LinkPacers, createLinkPacers } from "../runtime/link-pacer.js";
import { createLoggers, type Logger } from "../runtime/logger.js";
import { tcpNetwork } from "../runtime/network.js";
import type { Runtime } from "../runtime/runtime.js";
import { type Task, runTask, waitFor } from "../runtime/task.js";
import type { Adapter } from "./adapter.js";
import { deriveBounds } from "./bounds.js";
import { Daemon } from "./daemon.js";
import { HttpServers } from "./http-servers.js";
import { monitorHeap, monitorProcess } from "./process-monitor.js";
import type { Settings } from "./settings.js";
import { SettingsFile } from "./settings-file.js";
import { SettingsReloader } from "./settings-reloader.js";

/** Options of a daemon's process in addition to its settings. */
export interface ServeOptions {
  /** Translates headers and admin requests for a platform that has its own formats. */
  readonly adapter?: Adapter;
  /** Whether accepted configs are archived in a Git repository. */
  readonly archive?: boolean;
}

/** Interval at which a draining process checks whether responses are still being sent. */
const RESPONSE_CHECK_INTERVAL_MS = 20;

type Signal = "SIGTERM" | "SIGINT" | "SIGHUP";

const processSignals = (): EventStream<Signal> => {
  const signals = new EventStream<Signal>();
  for (const name of ["SIGTERM", "SIGINT", "SIGHUP"] as const)
    process.on(name, () => signals.emit(name));
  return signals;
};

/** Runs one daemon from reading its settings to its exit code. */
class DaemonProcess {
  private readonly file: SettingsFile;
  private readonly options: ServeOptions;
  private readonly settings: Settings;
  private readonly loggers: ReturnType<typeof createLoggers>;
  private readonly log: Logger;
  private readonly clock: Clock;
  private readonly network: ReturnType<typeof tcpNetwork>;
  private readonly pacers: LinkPacers;
  private readonly backendClient: HttpBackendClient;
  private readonly exit: (code: number) => void;

  constructor(file: SettingsFile, options: ServeOptions, exit: (code: number) => void) {
    this.file = file;
    this.options = options;
    this.exit = exit;
    this.settings = file.read();
    const { machine, logLevel, limits } = this.settings;
    this.loggers = createLoggers(machine, logLevel ?? "info");
    this.log = this.loggers.component("machine");
    this.clock = systemClock();
    this.network = tcpNetwork();
    this.pacers = createLinkPacers(this.clock, limits?.linkMbps);
    this.backendClient = new HttpBackendClient(this.clock, {
      proof: options.adapter?.headerNames.proof,
      pacers: this.pacers,
    });
  }

  /** Starts the daemon; `exit` is called with its exit code when it ends. */
  start(): void {
    runTask(this.run(), this.fail, this.exit);
  }

  private readonly fail = (error: unknown): void => {
    this.log.error("daemon failed", error);
    this.exit(1);
  };

  private *run(): Task<number> {
    const { clock, settings } = this;
    const runtime = yield* this.openRuntime();
    const daemon = this.createDaemon(runtime);
    const servers = new HttpServers(daemon, settings, this.pacers.egress, this.options.adapter);
    yield* daemon.start();
    yield* servers.listen();
    const reloader = new SettingsReloader(
      this.file,
      settings,
      (newSettings, applied) => {
        if (applied.includes("logLevel")) this.loggers.setLevel(newSettings.logLevel ?? "info");
        if (applied.includes("seeds")) daemon.setSeeds(newSettings.seeds);
      },
      this.log,
    );
    runTask(reloader.run(clock), this.fail);
    runTask(monitorProcess(clock, this.log), this.fail);
    runTask(
      monitorHeap(clock, this.log, () => daemon.retained),
      this.fail,
    );
    const signals = processSignals();
    signals.subscribe(clock.scheduler, (name) => {
      if (name === "SIGHUP") reloader.reload();
    });
    yield* waitFor<Signal>((done) =>
      signals.subscribe(clock.scheduler, (name) => {
        if (name !== "SIGHUP") done(name);
      }),
    );
    yield* this.drain(daemon, servers);
    servers.closeConnections();
    this.network.close();
    this.backendClient.close();
    return 0;
  }

  /** Finishes the work in progress, and ends when its responses are sent or the grace period is nearly over. */
  private *drain(daemon: Daemon, servers: HttpServers): Task {
    const { clock } = this;
    const deadlineMs = clock.nowMs() + deriveBounds(this.settings).retireMs;
    servers.closeClientConnections();
    yield* daemon.drain(() => servers.stopAcceptingClients());
    servers.stopAccepting();
    this.pacers.egress.release();
    do yield* sleep(clock, RESPONSE_CHECK_INTERVAL_MS);
    while (servers.hasUnfinishedResponses && clock.nowMs() < deadlineMs);
  }

  private *openRuntime(): Task<Runtime> {
    const { dataFolder } = this.settings;
    const disk = dataFolder === undefined ? undefined : yield* openDisk(dataFolder);
    return {
      clock: this.clock,
      network: this.network,
      disk,
      loggers: this.loggers,
      onTaskFailure: (component, error) => {
        this.loggers.component(component).error("task failed", error);
        this.exit(1);
      },
      random: Math.random,
      wallTime: () => new Date(),
    };
  }

  private createDaemon(runtime: Runtime): Daemon {
    const { adapter, archive: isArchived = false } = this.options;
    const { dataFolder } = this.settings;
    const archive =
      dataFolder !== undefined && isArchived
        ? new ConfigArchive(dataFolder, this.loggers.component("admin"))
        : undefined;
    return new Daemon(runtime, this.settings, {
      backendClient: this.backendClient,
      archive,
      pacers: this.pacers,
      ...(adapter ? { headerNames: adapter.headerNames } : {}),
    });
  }
}

/** Runs the daemon of this machine until a signal stops it; resolves to the exit code. Rejects with a SettingsError if the settings are invalid. */
export const serve = async (file: SettingsFile, options: ServeOptions = {}): Promise<number> =>
  new Promise<number>((exit) => new DaemonProcess(file, options, exit).start());

/** Runs the daemon that a settings file in daledoor's own format describes; flags override its fields. */
export const run = (file: string | undefined, flags: Record<string, unknown>): Promise<number> =>
  serve(SettingsFile.withOverrides(file, flags), { archive: true });
