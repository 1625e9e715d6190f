/** A daemon's structured log. */
import bunyan from "bunyan";

/** The log of one component: constant event texts, with the details in fields. */
export interface Logger {
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
  error(event: string, error: unknown): void;
}

/** Creates the logs of components. */
export interface LoggerFactory {
  component(name: string): Logger;
}

/** Minimum level of written records. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Creates loggers that write to the standard error stream through bunyan. */
export function createLoggers(
  machine: string,
  level: LogLevel,
): LoggerFactory & { setLevel(level: LogLevel): void } {
  const log = bunyan.createLogger({
    name: "daledoor",
    machine,
    level,
    stream: process.stderr,
    serializers: { err: bunyan.stdSerializers.err },
  });
  return {
    setLevel: (changed) => log.level(changed),
    component: (name) => ({
      info: (event, fields) => log.info(fields ?? {}, `${name}: ${event}`),
      warn: (event, fields) => log.warn(fields ?? {}, `${name}: ${event}`),
      error: (event, error) => log.error({ err: error }, `${name}: ${event}`),
    }),
  };
}

/** Creates loggers that pass lines to a function and throw logged errors, for tests and the simulator. */
export function createLineLoggers(writeLine: (line: string) => void): LoggerFactory {
  return {
    component: (name) => ({
      info: (event, fields) =>
        writeLine(`${name}: ${event}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
      warn: (event, fields) =>
        writeLine(`${name}: ${event}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
      error(event, error) {
        writeLine(
          `${name}: ${event} ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
        );
        throw error;
      },
    }),
  };
}
