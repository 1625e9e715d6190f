import bunyan from "bunyan";

/** The log of one part: short sentences behind a fixed prefix. */
export interface Logger {
  info(sentence: string, fields?: Record<string, unknown>): void;
  warn(sentence: string, fields?: Record<string, unknown>): void;
  error(sentence: string, error: unknown): void;
}

/** A daemon's log, by part. */
export interface LoggerFactory {
  component(name: string): Logger;
}

/** From which weight on lines are written. */
export type LogLevel = "debug" | "info" | "warn" | "error";

export const LoggerFactory = {
  /** Writes through bunyan to the standard error stream. */
  create(machine: string, level: LogLevel): LoggerFactory & { setLevel(level: LogLevel): void } {
    const log = bunyan.createLogger({ name: "daledoor", machine, level, stream: process.stderr });
    return {
      setLevel: (changed) => log.level(changed),
      component: (name) => ({
        info: (sentence, fields) => log.info(fields ?? {}, `${name}: ${sentence}`),
        warn: (sentence, fields) => log.warn(fields ?? {}, `${name}: ${sentence}`),
        error: (sentence, error) => log.error({ err: error }, `${name}: ${sentence}`),
      }),
    };
  },

  /** Hands lines on and raises what is at fault, for tests and the simulator. */
  toLines(lines: (line: string) => void): LoggerFactory {
    return {
      component: (name) => ({
        info: (sentence, fields) =>
          lines(`${name}: ${sentence}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
        warn: (sentence, fields) =>
          lines(`${name}: ${sentence}${fields ? ` ${JSON.stringify(fields)}` : ""}`),
        error(sentence, error) {
          lines(
            `${name}: ${sentence} ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
          );
          throw error;
        },
      }),
    };
  },
};
