/** Configurations: services, routes, goals and limits, as operators write them. */
import type { Config as ConfigFields } from "./config-shape.js";

/** A configuration, as operators write it. */
export type Config = ConfigFields;

/** The configuration without any items. */
export const EMPTY_CONFIG: Config = { services: {}, routes: {}, goals: {} };
