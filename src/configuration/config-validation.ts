/** Validation of configurations: of those that operators send, with all faults, and of accepted ones by their shape alone. */
import { validate } from "superstruct";
import {
  configShape,
  METHODS,
  safeMethods,
  trafficSplitOf,
  type Config,
  type Route,
} from "./config-shape.js";
import { Validated } from "./validated.js";

/** A fault of a value that was sent. */
export interface ValidationFault {
  /** The path of the faulty field, separated by dots. */
  path: string;
  /** What was expected there. */
  expected: string;
}

/** The result of a check: the configuration, or all its faults. */
export type ConfigCheck = { config: Config } | { faults: ValidationFault[] };

/** Raised when the stored text of an accepted configuration is invalid. */
export class InvalidConfigError extends Error {
  readonly code = "INVALID_CONFIG";

  constructor(readonly faults: readonly ValidationFault[]) {
    super(`An accepted configuration is invalid: ${JSON.stringify(faults)}`);
  }
}

/** The faults of a value that a superstruct refused. */
export const validationFaults = (
  failures: Iterable<{
    path: Array<string | number>;
    message: string;
    type: string;
    refinement: string | undefined;
  }>,
): ValidationFault[] =>
  [...failures].map((failure) => ({
    path: failure.path.join(".") || "(whole)",
    expected:
      failure.type === "never" ? "no such field" : failure.message.replace(/^Expected /, ""),
  }));

const serviceFaults = function* (
  { services }: Config,
  path: string,
  route: Route,
): Iterable<ValidationFault> {
  if ((route.service === undefined) === (route.split === undefined))
    yield { path: `${path}.service`, expected: "either a service or a split" };
  for (const [index, { service }] of trafficSplitOf(route).entries())
    if (!Object.hasOwn(services, service))
      yield {
        path: `${path}.${route.split ? `split.${index}.service` : "service"}`,
        expected: `a service that is defined, not "${service}"`,
      };
  if (route.split?.every(({ weight }) => weight === 0))
    yield { path: `${path}.split`, expected: "a weight above 0" };
};

const routeFaults = function* (
  config: Config,
  path: string,
  route: Route,
): Iterable<ValidationFault> {
  yield* serviceFaults(config, path, route);
  if (
    route.kind === undefined &&
    route.repeat === "safe" &&
    (route.match.methods ?? METHODS).some((method) => !safeMethods.has(method))
  )
    yield { path: `${path}.repeat`, expected: `"never", or a match on safe methods alone` };
};

const shapeFaults = (value: unknown): ValidationFault[] => {
  const [error] = validate(value, configShape);
  return error ? validationFaults(error.failures()) : [{ path: "(whole)", expected: "a config" }];
};

/** Checks a configuration as it was sent: its shape, and that it is consistent. */
export const checkConfig = (value: unknown): ConfigCheck => {
  if (!Validated.accepts(configShape, value)) return { faults: shapeFaults(value) };
  const faults: ValidationFault[] = [];
  for (const [name, route] of Object.entries(value.routes))
    faults.push(...routeFaults(value, `routes.${name}`, route));
  for (const name of Object.keys(value.goals ?? {}))
    if (!Object.hasOwn(value.routes, name))
      faults.push({ path: `goals.${name}`, expected: "the name of a route that is defined" });
  return faults.length > 0 ? { faults } : { config: value };
};

/** Reads the text of an accepted configuration and checks it again; throws an `InvalidConfigError`. */
export const parseConfig = (text: string): Config => {
  const value: unknown = JSON.parse(text);
  const checked = checkConfig(value);
  if ("faults" in checked) throw new InvalidConfigError(checked.faults);
  return checked.config;
};

/** Reads the texts of accepted configurations, checking their shape alone. */
export class ConfigReader {
  /** The configuration of a text; throws an `InvalidConfigError` where its shape is wrong. */
  read(text: string): Config {
    const value: unknown = JSON.parse(text);
    if (Validated.accepts(configShape, value)) return value;
    throw new InvalidConfigError(shapeFaults(value));
  }
}
