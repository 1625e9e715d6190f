import { readFile } from "node:fs/promises";
import { BackEnds } from "../door/backEnds.js";
import { Wire } from "../link/wire.js";
import { Archive } from "../operator/archive.js";
import { Clock } from "./clock.js";
import { Daemon } from "./daemon.js";
import { Disk } from "./disk.js";
import { HttpServer } from "./httpServer.js";
import { Logbook } from "./logbook.js";
import { Settings } from "./settings.js";
import { Source } from "./source.js";
import { Task } from "./task.js";
import { World } from "./world.js";
import type { Fault } from "../contract/config.js";

/** Raised when settings can't be used; carries every fault. */
export class SettingsError extends Error {
  readonly faults: Fault[];
  constructor(faults: Fault[]) {
    super("The settings have faults.");
    this.faults = faults;
  }
}

/** Reads settings from a file, if one is named, and lays flags over them. */
export const readSettings = async (file: string | undefined, flags: Record<string, unknown>): Promise<Settings> => {
  let value: unknown = {};
  if (file !== undefined) {
    try {
      value = JSON.parse(await readFile(file, "utf8"));
    } catch (error) {
      throw new SettingsError([{ path: file, expected: `a file with JSON that can be read (${error instanceof Error ? error.message : String(error)})` }]);
    }
  }
  const laid: unknown = typeof value === "object" && value !== null && !Array.isArray(value) ? { ...value, ...flags } : value;
  const checked = Settings.check(laid);
  if ("faults" in checked) throw new SettingsError(checked.faults);
  return checked.settings;
};

/** Runs the daemon of this machine until it is told to stop; ends with the exit code. */
export const run = async (file: string | undefined, flags: Record<string, unknown>): Promise<number> => {
  let settings = await readSettings(file, flags);
  const logbook = Logbook.open(settings.machine, settings.logLevel ?? "info");
  const log = logbook.part("machine");
  const clock = Clock.real();
  const wire = Wire.tcp();
  const backEnds = BackEnds.http(clock);
  return new Promise<number>((end) => {
    const fail = (error: unknown): void => {
      log.fault("The daemon can't run.", error);
      end(1);
    };
    const life = function* (): Task<number> {
      const disk = settings.dataFolder === undefined ? undefined : yield* Disk.open(settings.dataFolder);
      const broken = (part: string, error: unknown): void => {
        logbook.part(part).fault("A task broke off; the daemon ends.", error);
        end(1);
      };
      const archive = settings.dataFolder === undefined ? undefined : new Archive(settings.dataFolder, logbook.part("operator"));
      const world: World = { clock, wire, disk, archive, backEnds, logbook, broken, random: Math.random, wallTime: () => new Date() };
      const daemon = new Daemon(world, settings);
      const callers = new HttpServer((job, caller) => daemon.callers.put({ job, caller }));
      const operators = new HttpServer((job, caller) => daemon.operators.put({ job, give: (ret) => caller.whole(ret) }));
      yield* daemon.start();
      yield* operators.listen(settings.operators);
      const callersAt = Settings.roles(settings).includes("edge") ? settings.callers : undefined;
      if (callersAt !== undefined) yield* callers.listen(callersAt);

      const signals = new Source<"SIGTERM" | "SIGINT" | "SIGHUP">();
      for (const name of ["SIGTERM", "SIGINT", "SIGHUP"] as const) process.on(name, () => signals.put(name));
      signals.each(clock.scheduler, (name) => {
        if (name !== "SIGHUP") return;
        readSettings(file, flags).then(
          (after) => {
            const { applied, needRestart } = Settings.difference(settings, after);
            if (applied.length > 0) logbook.setLevel(after.logLevel ?? "info");
            log.say("Settings were read again.", { applied, needRestart });
            settings = { ...settings, logLevel: after.logLevel ?? "info" };
          },
          (error: unknown) => log.warn("The settings on file have faults; the old ones stay.", { faults: error instanceof SettingsError ? error.faults : String(error) }),
        );
      });
      yield* Task.wait<string>((done) =>
        signals.each(clock.scheduler, (name) => {
          if (name !== "SIGHUP") done(name);
        }),
      );
      callers.partWithCallers();
      yield* daemon.drain(() => {
        if (callersAt !== undefined) callers.close();
      });
      yield* Clock.rest(clock, 50);
      callers.end();
      operators.close();
      operators.end();
      wire.close();
      backEnds.close();
      return 0;
    };
    Task.start(life(), fail, end);
  });
};
