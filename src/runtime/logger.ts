/** The structured log of a daemon. */
import bunyan from "bunyan";

/** The log of one component: constant events, whose details are fields. */
export interface Logger {
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
  error(event: string, error: unknown): void;
}

/** A daemon's log, by component. */
export interface LoggerFactory {
  component(name: string): Logger;
}

/** The lowest level that is written. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Writes to the standard error stream through bunyan. */
export function createLoggers(
  machine: string,
  level: LogLevel,
): LoggerFactory & { setLevel(level: LogLevel): void } {
  const log = bunyan.createLogger({ name: "daledoor", machine, level, stream: process.stderr });
  return {
    setLevel: (changed) => log.level(changed),
    component: (name) => ({
      info: (event, fields) => log.info(fields ?? {}, `${name}: ${event}`),
      warn: (event, fields) => log.warn(fields ?? {}, `${name}: ${event}`),
      error: (event, error) => log.error({ err: error }, `${name}: ${event}`),
    }),
  };
}

/** Passes lines to a function and throws errors, for tests and the simulator. */
export function createLineLoggers(lines: (line: string) => void): LoggerFactory {
  return {
    component: (name) => ({
      info: (event, fields) =>
        lines(`${name}: ${event}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
      warn: (event, fields) =>
        lines(`${name}: ${event}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
      error(event, error) {
        lines(
          `${name}: ${event} ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
        );
        throw error;
      },
    }),
  };
}
