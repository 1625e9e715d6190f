/** Configurations: services, routes, goals and limits, as operators write them. */
import type { Config as ConfigFields } from "./config-shape.js";
import { checkConfig, parseConfig } from "./config-validation.js";

export { applyItemChanges, itemsShape, mergePatch, namesShape } from "./config-changes.js";
export { configShape, nameShape, safeMethods, trafficSplitOf } from "./config-shape.js";
export { ConfigReader, validationFaults, type ValidationFault } from "./config-validation.js";

/** A configuration, as operators write it. */
export type Config = ConfigFields;

const emptyConfig: Config = { services: {}, routes: {}, goals: {} };

export const Config = {
  /** Checks a configuration as it was sent: returns it, or all its faults. */
  check: checkConfig,

  /** Reads the text of an accepted configuration and checks it again; throws an `InvalidConfigError`. */
  parse: parseConfig,

  /** The configuration without any items. */
  empty: emptyConfig,
};
