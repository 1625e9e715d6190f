/** Changes of configurations: merge patches, and items that are put and removed. */
import { array, object, optional, record, string, type Infer } from "superstruct";
import { opaqueShape } from "./config-shape.js";
import { isObject } from "./validated.js";

/** The shape of items to put, each replaced as a whole; a goal that is null is removed, and so are limits that are null. */
export const itemsShape = object({
  services: optional(record(string(), opaqueShape)),
  routes: optional(record(string(), opaqueShape)),
  goals: optional(record(string(), opaqueShape)),
  limits: optional(opaqueShape),
  origin: optional(opaqueShape),
});

/** The shape of the names of items to remove; names that don't exist are ignored. */
export const namesShape = object({
  services: array(string()),
  routes: array(string()),
  goals: array(string()),
});

/** Applies a JSON merge patch (RFC 7396); returns a new value. */
export const mergePatch = (target: unknown, patch: unknown): unknown => {
  if (!isObject(patch)) return patch;
  const merged: Record<string, unknown> = isObject(target) ? { ...target } : {};
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) delete merged[key];
    else
      Object.defineProperty(merged, key, {
        value: mergePatch(Object.hasOwn(merged, key) ? merged[key] : undefined, value),
        enumerable: true,
        writable: true,
        configurable: true,
      });
  }
  return merged;
};

const changeSection = (
  section: unknown,
  put: Record<string, unknown> = {},
  remove: Iterable<string> = [],
): Record<string, unknown> => {
  const removed = new Set(remove);
  const retained = Object.entries(isObject(section) ? section : {}).filter(
    ([name]) => !removed.has(name),
  );
  return Object.fromEntries([...retained, ...Object.entries(put)]);
};

/** Removes named items of a configuration and puts others, each as a whole; a route's goal is removed with it. */
export const applyItemChanges = (
  target: unknown,
  put: Infer<typeof itemsShape>,
  remove: Infer<typeof namesShape>,
): Record<string, unknown> => {
  const current = isObject(target) ? target : {};
  const goals = changeSection(current["goals"], put.goals, [...remove.goals, ...remove.routes]);
  const changed: Record<string, unknown> = {
    ...current,
    services: changeSection(current["services"], put.services, remove.services),
    routes: changeSection(current["routes"], put.routes, remove.routes),
    goals: Object.fromEntries(Object.entries(goals).filter(([, goal]) => goal !== null)),
    ...(put.limits === undefined ? {} : { limits: put.limits }),
    ...(put.origin === undefined ? {} : { origin: put.origin }),
  };
  if (put.limits === null) delete changed["limits"];
  return changed;
};
